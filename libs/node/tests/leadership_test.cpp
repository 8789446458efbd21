#include "leadership.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

leadership_state make_host(const std::string& name, std::uint64_t incarnation = 1) {
    leadership_state state;
    state.name = name;
    state.address = name + ":7000";
    state.incarnation = incarnation;
    apply_log_read(state, 1, true, 0);
    return state;
}

/**
 * Appends the due write of `host` to a log that ends at `end`, and applies the outcome. Returns the
 * record, or nothing if no write was due or the append failed.
 */
std::optional<lease_record> append(leadership_state& host, time_ms now, std::uint64_t& end) {
    const auto write = begin_due_write(host, now, 0);
    if (!write) {
        return std::nullopt;
    }
    const bool appended = write->expected_end == end;
    apply_write_outcome(host, now, appended, end);
    if (!appended) {
        return std::nullopt;
    }
    ++end;
    return write->record;
}

} // namespace

TEST_CASE("only one of two candidates acquires a vacant lease") {
    std::uint64_t end = 0;
    auto a = make_host("a");
    auto b = make_host("b");
    CHECK(append(a, 1000, end));
    CHECK_FALSE(append(b, 1000, end));
    CHECK(lease_valid(a, 1001));
    CHECK_FALSE(is_leader(b));
}

TEST_CASE("another host acquires the lease only after it is no longer renewed") {
    std::uint64_t end = 0;
    auto a = make_host("a");
    auto b = make_host("b");
    time_ms now = 1000;
    const auto first = append(a, now, end);
    apply_lease_record(b, now, 0, *first);
    const std::uint64_t epoch = a.epoch;
    for (int i = 0; i < 20; ++i) {
        now += leader_renewal_interval_ms;
        const std::uint64_t offset = end;
        const auto renewed = append(a, now, end);
        REQUIRE(renewed);
        apply_lease_record(b, now, offset, *renewed);
        CHECK_FALSE(begin_due_write(b, now + leader_renewal_interval_ms, 0));
    }
    CHECK(a.epoch == epoch);
    now += min_leader_lease_ms + 1;
    CHECK(append(b, now, end));
    CHECK_FALSE(lease_valid(a, now));
    CHECK(b.epoch > epoch);
}

TEST_CASE("a restarted host acquires the lease of its previous incarnation at once") {
    std::uint64_t end = 0;
    auto before = make_host("a", 1);
    const auto record = append(before, 1000, end);
    auto after = make_host("a", 2);
    apply_lease_record(after, 1100, 0, *record);
    CHECK(append(after, 1200, end));
}

TEST_CASE("after a store outage a host waits a full lease before it treats the lease as vacant") {
    std::uint64_t end = 0;
    auto a = make_host("a");
    auto b = make_host("b");
    apply_lease_record(b, 1000, 0, *append(a, 1000, end));
    apply_log_read(b, 1100, false, 0);
    CHECK_FALSE(begin_due_write(b, 9000, 0));
    apply_log_read(b, 9100, true, end);
    CHECK_FALSE(begin_due_write(b, 9100 + initial_leader_lease_ms - 1, 0));
    CHECK(begin_due_write(b, 9100 + initial_leader_lease_ms + 1, 0));
}

TEST_CASE("a renewal whose answer was lost takes effect when its record is read") {
    std::uint64_t end = 0;
    auto a = make_host("a");
    append(a, 1000, end);
    const auto renewal = begin_due_write(a, 1300, 0);
    REQUIRE(renewal);
    apply_lease_record(a, 1350, end, renewal->record);
    CHECK(lease_valid(a, 1300 + min_leader_lease_ms / 2));
    CHECK_FALSE(a.pending_write);
}

TEST_CASE("a released lease is vacant at once") {
    std::uint64_t end = 0;
    auto a = make_host("a");
    auto b = make_host("b");
    apply_lease_record(b, 1000, 0, *append(a, 1000, end));
    request_release(a);
    const std::uint64_t offset = end;
    const auto released = append(a, 1010, end);
    REQUIRE(released);
    CHECK_FALSE(is_leader(a));
    apply_lease_record(b, 1020, offset, *released);
    CHECK(append(b, 1021, end));
}

// The answer to a release may be lost. A leader that went on giving orders until it heard that its
// release is stored could renew a worker's lease after its successor had begun to count.
// Hosts were stopped in turn, and the first that read the release led, however small its link was.
TEST_CASE("a host takes a released lease only after the delay that lets abler hosts go first") {
    constexpr time_ms delay_ms = 300;
    std::uint64_t end = 0;
    auto a = make_host("a");
    auto b = make_host("b");
    time_ms now = 1000;
    apply_lease_record(b, now, 0, *append(a, now, end));
    request_release(a);
    now += leader_renewal_interval_ms;
    const auto release = append(a, now, end);
    REQUIRE(release);
    apply_lease_record(b, now, 1, *release);
    CHECK_FALSE(begin_due_write(b, now + delay_ms - 1, delay_ms));
    CHECK(begin_due_write(b, now + delay_ms, delay_ms));
}

TEST_CASE("a leader gives no orders once its release is sent") {
    std::uint64_t end = 0;
    auto a = make_host("a");
    append(a, 1000, end);
    REQUIRE(may_act(a, 1005));
    request_release(a);
    REQUIRE(begin_due_write(a, 1010, 0));
    CHECK_FALSE(may_act(a, 1010));
    apply_write_outcome(a, 1600, false, 0); // no answer
    CHECK_FALSE(may_act(a, 1601));
    CHECK(begin_due_write(a, 1700, 0)); // the release is sent again
}

TEST_CASE("a successor counts the grace time of the leader whose lease expired") {
    std::uint64_t end = 0;
    auto a = make_host("a");
    auto b = make_host("b");
    const auto first = append(a, 1000, end);
    apply_lease_record(b, 1010, 0, *first);
    const time_ms now = 1010 + initial_leader_lease_ms + 1;
    REQUIRE(append(b, now, end));
    time_ms last_order_ms = now;
    while (may_act(a, last_order_ms + 1)) {
        ++last_order_ms;
    }
    CHECK(b.earlier_orders_until_ms >= last_order_ms);
    CHECK(b.earlier_orders_until_ms <= 1010 + initial_leader_lease_ms + leader_grace_ms);
}

// `a` is cut off from the store and still renews leases; `b` leads for a moment and is restarted,
// or releases its lease. The term after it must count with the orders of `a`.
TEST_CASE("a term after a short one counts with the leader before that") {
    std::uint64_t end = 0;
    auto a = make_host("a");
    auto b = make_host("b", 1);
    const auto first = append(a, 1000, end);
    apply_lease_record(b, 1010, 0, *first);
    time_ms now = 1010 + initial_leader_lease_ms + 1;
    const auto second = append(b, now, end);
    REQUIRE(second);
    time_ms last_order_ms = now;
    while (may_act(a, last_order_ms + 1)) {
        ++last_order_ms;
    }
    SECTION("restarted") {
        auto restarted = make_host("b", 2);
        now += 300;
        apply_lease_record(restarted, now, end - 1, *second);
        REQUIRE(append(restarted, now + 100, end));
        CHECK(restarted.earlier_orders_until_ms >= last_order_ms);
    }
    SECTION("released") {
        request_release(b);
        const std::uint64_t offset = end;
        const auto released = append(b, now + 300, end);
        REQUIRE(released);
        auto c = make_host("c");
        apply_lease_record(c, now + 310, offset, *released);
        REQUIRE(append(c, now + 320, end));
        CHECK(c.earlier_orders_until_ms >= last_order_ms);
        CHECK(c.earlier_orders_until_ms <= last_order_ms + 1000);
    }
}

TEST_CASE("a host that replaces another under the same name doesn't take its lease for its own") {
    std::uint64_t end = 0;
    auto a = make_host("a", 1);
    const auto first = append(a, 1000, end);
    auto replacement = make_host("a", 2);
    replacement.address = "elsewhere:7000";
    apply_lease_record(replacement, 1010, 0, *first);
    CHECK_FALSE(begin_due_write(replacement, 1200, 0));
    const time_ms now = 1010 + initial_leader_lease_ms + 1;
    REQUIRE(append(replacement, now, end));
    CHECK(replacement.earlier_orders_until_ms >= now + leader_grace_ms - 100);
}

// The first lease of a term is longer than the later ones. A renewal that is stored without an
// answer lets the other hosts count with the shorter one (found by a random schedule).
TEST_CASE("a renewal with a shorter lease binds its sender before it is answered") {
    std::uint64_t end = 0;
    auto a = make_host("a");
    auto b = make_host("b");
    append(a, 1000, end);
    REQUIRE(lease_valid(a, 1000 + initial_leader_lease_ms - 200));
    const auto renewal = begin_due_write(a, 1250, 0);
    REQUIRE(renewal);
    REQUIRE(renewal->record.lease_ms < initial_leader_lease_ms);
    apply_lease_record(b, 1255, end++, renewal->record);
    const time_ms vacant_at = 1255 + renewal->record.lease_ms + 1;
    CHECK(append(b, vacant_at, end));
    CHECK_FALSE(lease_valid(a, vacant_at));
}

TEST_CASE("slow responses of the store make the lease longer") {
    std::uint64_t end = 0;
    auto a = make_host("a");
    append(a, 1000, end);
    REQUIRE(begin_due_write(a, 1300, 0));
    apply_write_outcome(a, 1700, true, end++);
    const auto next = begin_due_write(a, 1800, 0);
    REQUIRE(next);
    CHECK(next->record.lease_ms >= min_leader_lease_ms + lease_response_multiple * 400);
}

TEST_CASE("an encoded lease record is decoded, and a malformed one is an error") {
    const lease_record record{"a", "10.0.0.1:7000", 7, 3, 2, false, 900, 4000};
    const auto decoded = decode_lease(encode_lease(record));
    REQUIRE(decoded);
    CHECK(decoded.value().address == record.address);
    CHECK(decoded.value().lease_ms == record.lease_ms);
    CHECK(decoded.value().earlier_orders_ms == record.earlier_orders_ms);
    CHECK_FALSE(decode_lease("{\"name\":1}"));
    CHECK_FALSE(decode_lease("\xff"));
}

TEST_CASE("a leader that was suspended beyond the grace time may not act") {
    std::uint64_t end = 0;
    auto a = make_host("a");
    append(a, 1000, end);
    CHECK(may_act(a, 1000 + initial_leader_lease_ms));
    CHECK_FALSE(may_act(a, 1000 + initial_leader_lease_ms + leader_grace_ms + 1));
}

// Admission of jobs would forget the backlog at each change of leader otherwise.
TEST_CASE("a leader that doesn't know the jobs yet repeats the reported backlog") {
    std::uint64_t end = 0;
    leadership_state first = make_host("a");
    first.own_backlog = job_backlog{5'000'000, {{"x", 4'000'000}, {"y", 1'000'000}}};
    const auto record = append(first, 1000, end);
    REQUIRE(record);
    const auto decoded = decode_lease(encode_lease(*record));
    REQUIRE(decoded);
    CHECK(decoded.value().backlog.total_bytes == 5'000'000);
    REQUIRE(decoded.value().backlog.largest.size() == 2);
    CHECK(decoded.value().backlog.largest[0].name == "x");
    CHECK(decoded.value().backlog.largest[0].bytes == 4'000'000);
    leadership_state second = make_host("b");
    apply_lease_record(second, 1001, 0, decoded.value());
    const auto taken = append(second, 20'000, end);
    REQUIRE(taken);
    CHECK(taken->backlog.total_bytes == 5'000'000);
    second.own_backlog = job_backlog{};
    const auto renewed = append(second, 20'500, end);
    REQUIRE(renewed);
    CHECK(renewed->backlog.total_bytes == 0);
    CHECK(encode_lease(*renewed).find("backlog") == std::string::npos);
}
