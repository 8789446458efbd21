#include "leadership.h"
#include "sustained_delay.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

constexpr double small = 0.12;
constexpr double large = 0.5;

/** Hosts that read each record as soon as it is written. */
struct hosts {
    leadership_state a = make("a");
    leadership_state b = make("b");
    std::uint64_t end = 0;

    static leadership_state make(const std::string& name) {
        leadership_state state;
        state.name = name;
        state.address = name + ":7000";
        state.incarnation = 1;
        apply_log_read(state, 1, true, 0);
        return state;
    }

    /** Carries out the due write of a host; returns whether one was due. */
    bool write(leadership_state& host, time_ms now, time_ms delay_ms = 0) {
        const auto due = begin_due_write(host, now, delay_ms);
        if (!due) {
            return false;
        }
        REQUIRE(due->expected_end == end);
        apply_write_outcome(host, now, true, end);
        const auto stored = decode_lease(encode_lease(due->record));
        apply_lease_record(&host == &a ? b : a, now, end, stored.value());
        ++end;
        return true;
    }
};

} // namespace

// Guards against a small host that took the lease in a fault of the store and kept it to the end,
// always late, while abler hosts were up.
TEST_CASE("a leader that steps aside releases its lease, and an abler host takes it") {
    hosts h;
    REQUIRE(h.write(h.a, 1000));
    REQUIRE(may_step_aside(h.a, 1000, small, large));
    step_aside(h.a, 1000);
    REQUIRE(h.write(h.a, 1000));
    CHECK_FALSE(may_act(h.a, 1000));
    CHECK_FALSE(is_leader(h.a));
    REQUIRE(h.write(h.b, 1100));
    CHECK(lease_valid(h.b, 1100));
    CHECK(h.b.earlier_orders_until_ms <= 1100);
}

// Guards against overloaded hosts that hand the lease around in turn.
TEST_CASE("after a leader has stepped aside, the next ones keep the lease") {
    hosts h;
    REQUIRE(h.write(h.a, 1000));
    step_aside(h.a, 1000);
    REQUIRE(h.write(h.a, 1000));
    REQUIRE(h.write(h.b, 1100));
    CHECK_FALSE(may_step_aside(h.b, 1100, small, large));
    time_ms now = 1100;
    for (; now < 20'000; now += leader_renewal_interval_ms) {
        h.write(h.b, now);
    }
    // The lease of `b` runs out; the records tell `a` about the rest of the interval.
    now += max_leader_lease_ms;
    REQUIRE(h.write(h.a, now));
    CHECK_FALSE(may_step_aside(h.a, now, small, large));
    CHECK_FALSE(may_step_aside(h.a, 1000 + step_aside_interval_ms - 1, small, large));
    CHECK(may_step_aside(h.a, 1000 + step_aside_interval_ms + 200, small, large));
}

TEST_CASE("a host that stepped aside takes the lease again if nobody else does, and may act") {
    hosts h;
    REQUIRE(h.write(h.a, 1000));
    step_aside(h.a, 1000);
    REQUIRE(h.write(h.a, 1000));
    CHECK_FALSE(h.write(h.a, 1000 + left_to_others_ms - 1));
    REQUIRE(h.write(h.a, 1000 + left_to_others_ms));
    CHECK(may_act(h.a, 1000 + left_to_others_ms));
}

TEST_CASE("a leader steps aside only for hosts that are much abler") {
    hosts h;
    CHECK_FALSE(may_step_aside(h.a, 1000, small, large));
    REQUIRE(h.write(h.a, 1000));
    CHECK_FALSE(may_step_aside(h.a, 1000, large, large));
    CHECK_FALSE(may_step_aside(h.a, 1000, 0.4, large));
    request_release(h.a);
    CHECK_FALSE(may_step_aside(h.a, 1000, small, large));
}

TEST_CASE("a record without the time for which the lease is kept is read") {
    const std::string text = R"({"name":"a","address":"a:1","incarnation":1,"epoch":1,"write":1,)"
                             R"("released":false,"lease_ms":700,"earlier_orders_ms":0})";
    const auto record = decode_lease(text);
    REQUIRE(record);
    CHECK(record.value().kept_ms == 0);
}

TEST_CASE("a host that is late once isn't taken for one that can't keep up") {
    sustained_delay delay;
    delay.reset(0);
    CHECK_FALSE(delay.add(1400, 1400));
    CHECK_FALSE(delay.add(3000, 90));
    bool late = false;
    for (time_ms now = 3000; now <= 9000 && !late; now += 400) {
        late = delay.add(now, 375);
    }
    CHECK(late);
    for (time_ms now = 9000; now <= 15'000; now += 100) {
        CHECK_FALSE(delay.add(now, now == 9000 ? 0 : 88));
    }
}
