#include "coordinator_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace fulmarworks::scheduler {

namespace {

/** Worker w1 answers a poll without listing any run. */
void list_nothing(coordinator_fixture& f, bool incomplete) {
    worker_status status;
    status.started_wall_ms = 1;
    status.clock_ms = f.now.monotonic_ms;
    status.incomplete = incomplete;
    f.send(poll_answered{"w1", f.now.monotonic_ms, status});
}

/** Lets the only task reach a phase on worker w1 in which a complete list without it shows that its
 * run is over. */
void reach(coordinator_fixture& f, task_phase phase) {
    f.add_worker("w1");
    f.send(job_submitted{coordinator_fixture::make_job("a", 1, {1000, 1000, 1})});
    const auto order = f.take<send_start>();
    REQUIRE(order);
    if (phase == task_phase::running || phase == task_phase::unverified) {
        f.accept_start(*order);
    } else if (phase == task_phase::stopping) {
        f.send(start_answered{"w1", order->task, 1, false, order_failure::superseded});
        f.send(stop_answered{"w1", order->task, 1, true, {}});
    }
    if (phase == task_phase::unverified) {
        const job& old = *f.state.jobs.at("a");
        std::vector<stored_job> jobs;
        jobs.push_back({old.spec, encode_progress(old)});
        f.state = recover(f.state.limits, std::move(jobs), f.now, 0);
        f.send(worker_reported{coordinator_fixture::make_report("w1")});
    }
    REQUIRE(f.first_task("a").phase == phase);
    f.now.monotonic_ms += 3500; // past the deadline of the start
    f.pending_effects.clear();
}

} // namespace

// Guards against runs that start again because their worker lists only some of its ended runs at a
// time, so that theirs comes later.
TEST_CASE("a run doesn't count as over because an incomplete list lacks it") {
    const auto phase = GENERATE(task_phase::unverified, task_phase::running, task_phase::ordered,
                                task_phase::stopping);
    CAPTURE(static_cast<int>(phase));
    coordinator_fixture f;
    reach(f, phase);
    list_nothing(f, true);
    CHECK(f.first_task("a").phase == phase);
    CHECK(f.first_task("a").run == 1);
    CHECK_FALSE(f.take<send_start>());
    list_nothing(f, false);
    CHECK(f.first_task("a").run == 2);
}

// Guards against an outage of the store after which the ends of many runs are listed in parts.
TEST_CASE(
    "runs that end in an outage of the store complete, in however many parts they are listed") {
    constexpr std::uint32_t tasks = 40;
    constexpr std::size_t listed_at_a_time = 3;
    coordinator_fixture f;
    f.add_worker("w1");
    f.send(job_submitted{coordinator_fixture::make_job("a", tasks, {1000, 1000, 0})});
    std::vector<ended_run> ends;
    for (const auto& order : f.take_all<send_start>()) {
        f.accept_start(order);
        ends.push_back({ends.size() + 1, order.task, order.run, end_reason::done, ""});
    }
    REQUIRE(ends.size() == tasks);
    f.confirm_stores = false;
    std::size_t starts = 0;
    for (int i = 0; i < 200; ++i) {
        if (i == 20) {
            f.confirm_stores = true;
            f.send(records_stored{});
        }
        f.advance(100);
        for (const auto& poll : f.take_all<send_poll>()) {
            std::erase_if(ends, [&](const auto& e) { return e.sequence <= poll.stored_sequence; });
            worker_status status;
            status.started_wall_ms = 1;
            status.clock_ms = f.now.monotonic_ms;
            status.incomplete = ends.size() >= listed_at_a_time;
            status.ended.assign(ends.begin(), ends.begin() + static_cast<std::ptrdiff_t>(std::min(
                                                                 ends.size(), listed_at_a_time)));
            f.send(poll_answered{"w1", f.now.monotonic_ms, status});
        }
        starts += f.take_all<send_start>().size();
    }
    CHECK(starts == 0);
    CHECK(f.state.jobs.at("a")->visible_state == job_state::completed);
}

// Guards against a task that waits for good for the end of a run whose row can't be read: as the
// last one it was never acknowledged, so each list of the worker was incomplete.
TEST_CASE("a run whose end can't be read doesn't hold up its task for good") {
    coordinator_fixture f;
    f.add_worker("w1");
    const auto order = f.run_job(coordinator_fixture::make_job("a", 1, {1000, 1000, 1}));
    REQUIRE(order);
    const std::uint64_t sequence = GENERATE(1U, 4'000'000'000U);
    std::uint64_t acknowledged = 0;
    for (int i = 0; i < 10; ++i) {
        f.advance(500);
        for (const auto& poll : f.take_all<send_poll>()) {
            acknowledged = poll.stored_sequence;
            worker_status status;
            status.started_wall_ms = 1;
            status.clock_ms = f.now.monotonic_ms;
            status.incomplete = acknowledged < sequence;
            status.unreadable_rows = status.incomplete ? 1 : 0;
            status.last_unreadable_end = status.incomplete ? sequence : 0;
            f.send(poll_answered{"w1", f.now.monotonic_ms, status});
        }
    }
    // A number that can't be true would acknowledge ends that are still to come.
    const bool plausible = sequence == 1;
    CHECK(acknowledged == (plausible ? 1 : 0));
    CHECK(f.first_task("a").run == (plausible ? 2 : 1));
}

} // namespace fulmarworks::scheduler
