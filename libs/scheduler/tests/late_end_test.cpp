#include "coordinator_fixture.h"

#include <catch2/catch.hpp>

namespace fulmarworks::scheduler {

namespace {

const task_id only_task{"a", 0, 0, 0};

} // namespace

// Guards against a second run of a task whose end becomes known between its next placement and the
// start there, for example when a worker that was cut off answers again.
TEST_CASE(
    "a task whose earlier run is listed as done doesn't start again while it is only placed") {
    coordinator_fixture f;
    run_one_task(f);
    f.add_worker("w2");
    f.confirm_stores = false;
    const time_ms expiry_bound_ms = f.state.workers.at("w1").lease_expiry_bound_ms;
    f.send(poll_failed{"w1", order_failure::no_answer});
    f.advance(expiry_bound_ms - f.now.monotonic_ms + 1);
    f.advance(300);
    REQUIRE(f.first_task("a").phase == task_phase::placed);
    REQUIRE(f.first_task("a").where.id == "w2");

    f.answer_poll("w1", {}, {{1, only_task, 1, end_reason::done, ""}});
    f.confirm_stores = true;
    f.send(records_stored{});
    f.advance(50);
    CHECK_FALSE(f.take<send_start>());
    CHECK(f.state.jobs.at("a")->visible_state == job_state::completed);
    CHECK(f.state.workers.at("w2").assigned.empty());
}

namespace {

/** Runs two tasks on worker w1, which lists the end of the first while the store doesn't answer. */
void end_one_task_in_store_outage(coordinator_fixture& f, bool draining) {
    f.add_worker("w1");
    f.send(job_submitted{f.make_job("a", 2, {1000, 1000, 1})});
    for (const auto& order : f.take_all<send_start>()) {
        f.accept_start(order);
    }
    auto report = f.make_report("w1");
    report.draining = draining;
    report.remaining_ms = 10000;
    f.send(worker_reported{report, f.now.monotonic_ms});
    f.advance(50);
    f.take_all<send_poll>();
    f.confirm_stores = false;
    f.answer_poll("w1", {{{"a", 0, 0, 1}, 1, "", 50}}, {{1, only_task, 1, end_reason::done, ""}});
}

} // namespace

// Guards against ends that are not read before a worker leaves, because the storage of earlier ends
// takes long: their tasks would run again.
TEST_CASE("a draining worker is polled soon while the effect of its earlier ends is being stored") {
    const bool draining = GENERATE(false, true);
    CAPTURE(draining);
    coordinator_fixture f;
    end_one_task_in_store_outage(f, draining);
    f.advance(150);
    CHECK(f.take<send_poll>().has_value() == draining);
}

// Guards against an outage of the store that ends the leases of all workers on which a run ended.
TEST_CASE("a worker's lease is renewed while the effect of its ended runs can't be stored") {
    coordinator_fixture f;
    end_one_task_in_store_outage(f, false);
    const time_ms lease_end_ms = f.state.workers.at("w1").lease_ends_at_worker_ms;
    f.advance(600);
    const auto poll = f.take<send_poll>();
    REQUIRE(poll);
    CHECK(poll->lease_ends_at_worker_ms > lease_end_ms);
}

// Guards against taking runs for stalled on workers that the leader doesn't poll.
TEST_CASE("a run isn't stopped as stalled while its worker has not been asked for its progress") {
    coordinator_fixture f;
    end_one_task_in_store_outage(f, false);
    for (int i = 0; i < 40; ++i) {
        f.advance(100);
    }
    CHECK_FALSE(f.take<send_stop>());
}

} // namespace fulmarworks::scheduler
