#include "coordinator_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

TEST_CASE("a task on an unreachable worker is reassigned only after the worker's lease expires") {
    coordinator_fixture f;
    run_one_task(f);
    f.add_worker("w2");
    const time_ms expiry_bound_ms = f.state.workers.at("w1").lease_expiry_bound_ms;
    while (f.now.monotonic_ms + 50 < expiry_bound_ms) {
        f.send(poll_failed{"w1", order_failure::no_answer});
        f.advance(50);
        REQUIRE(f.first_task("a").where.id == "w1");
    }
    f.advance(100);
    CHECK(f.first_task("a").where.id == "w2");
    CHECK(f.first_task("a").run == 2);
}

TEST_CASE("the retry of an unanswered poll doesn't extend the lease") {
    coordinator_fixture f;
    run_one_task(f);
    f.send(poll_failed{"w1", order_failure::no_answer});
    f.advance(400);
    const auto poll = f.take<send_poll>();
    REQUIRE(poll);
    CHECK(poll->lease_ends_at_worker_ms == 0);
}

// A worker that is cut off from the store loses its registry entry while its runs go on, whether it
// drains or not. Taking the missing entry for its end led to two concurrent runs of one task.
TEST_CASE("tasks of a worker that left the registry are reassigned only after its lease expires") {
    for (const bool draining : {false, true}) {
        coordinator_fixture f;
        run_one_task(f);
        f.add_worker("w2");
        auto report = f.make_report("w1");
        report.draining = draining;
        f.send(worker_reported{report});
        const time_ms expiry_bound_ms = f.state.workers.at("w1").lease_expiry_bound_ms;
        f.send(worker_unlisted{"w1"});
        while (f.now.monotonic_ms + 50 < expiry_bound_ms) {
            f.send(poll_failed{"w1", order_failure::no_answer});
            f.advance(50);
            REQUIRE(f.first_task("a").where.id == "w1");
        }
        f.advance(100);
        CHECK(f.first_task("a").where.id == "w2");
    }
}

TEST_CASE("tasks of a draining worker are reassigned at once only if its entry was deleted before "
          "three heartbeats were missed") {
    static constexpr time_ms three_heartbeats_ms = 4500;
    enum class removal { deleted, unreadable };
    const auto silent_ms = GENERATE(time_ms{300}, three_heartbeats_ms);
    const bool time_known = GENERATE(true, false);
    const bool draining = GENERATE(true, false);
    const auto how = GENERATE(removal::deleted, removal::unreadable);
    CAPTURE(silent_ms, time_known, draining, static_cast<int>(how));
    coordinator_fixture f;
    run_one_task(f);
    f.add_worker("w2");
    auto report = f.make_report("w1");
    report.draining = draining;
    f.send(worker_reported{report, time_known ? f.now.monotonic_ms : 0});
    f.state.workers.at("w1").lease_expiry_bound_ms = f.now.monotonic_ms + 60'000;
    f.now.monotonic_ms += silent_ms;
    f.send(worker_unlisted{"w1", how == removal::deleted});
    f.send(tick{});
    CHECK(f.first_task("a").where.id == "w1"); // its poll has not failed
    f.send(poll_failed{"w1", order_failure::no_answer});
    f.advance(50);
    const bool left =
        draining && time_known && how == removal::deleted && silent_ms < three_heartbeats_ms;
    CHECK(f.first_task("a").where.id == (left ? "w2" : "w1"));
}

TEST_CASE(
    "a draining worker whose entry is deleted before its announced end is not taken for gone") {
    coordinator_fixture f;
    run_one_task(f);
    f.add_worker("w2");
    auto report = f.make_report("w1");
    report.draining = true;
    report.remaining_ms = 3000;
    f.send(worker_reported{report, f.now.monotonic_ms});
    f.now.monotonic_ms += 1000;
    f.send(worker_unlisted{"w1", true});
    f.send(poll_failed{"w1", order_failure::no_answer});
    f.advance(50);
    CHECK(f.first_task("a").where.id == "w1");
}

// The earlier leader, which is cut off from the store only, renews the lease of a worker that is
// cut off from the store and from the new leader (day cut-workers-under-silent-store).
TEST_CASE(
    "a new leader reassigns the tasks of an unlisted worker only after the last lease that an "
    "earlier leader may have granted has expired") {
    constexpr time_ms granted_ms = 3900;
    constexpr double slowest_clock_rate = 0.98;
    constexpr time_ms allowed_delay_ms = 200;
    coordinator_fixture f;
    run_one_task(f);
    const job& known = *f.state.jobs.at("a");
    std::vector<stored_job> stored;
    stored.push_back({known.spec, encode_progress(known)});
    for (const time_ms earlier_orders_for_ms : {-3000, 0, 1000, 5700}) {
        coordinator_fixture successor;
        const time_ms earlier_orders_until_ms = successor.now.monotonic_ms + earlier_orders_for_ms;
        const time_ms last_grant_ms = std::max(successor.now.monotonic_ms, earlier_orders_until_ms);
        const auto last_lease_end_ms =
            last_grant_ms +
            static_cast<time_ms>(static_cast<double>(granted_ms) / slowest_clock_rate);
        successor.state = recover({}, stored, successor.now, earlier_orders_until_ms);
        successor.add_worker("w2");
        while (successor.now.monotonic_ms + 50 < last_lease_end_ms) {
            successor.advance(50);
            REQUIRE(successor.first_task("a").where.id == "w1");
        }
        successor.advance(50 + allowed_delay_ms);
        CHECK(successor.first_task("a").where.id == "w2");
        CHECK(successor.first_task("a").run == 2);
    }
}
