#include "coordinator_fixture.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr int workers = 20;
constexpr int backlog_jobs = 3000;
constexpr resources whole_worker{128'000, 262'144, 8};
constexpr resources small_task{1000, 1000, 1};

/** Fills all workers with preemptible tasks and queues the backlog. */
void fill(coordinator_fixture& f) {
    for (int i = 0; i < workers; ++i) {
        f.add_worker("w" + std::to_string(i));
    }
    f.state.batch_open = true; // so that one plan places all
    for (int i = 0; i < workers + backlog_jobs; ++i) {
        f.send(job_submitted{f.make_job("long-" + std::to_string(i), 1, whole_worker)});
    }
    f.send(records_stored{});
    for (const auto& start : f.take_all<send_start>()) {
        f.accept_start(start);
    }
    f.advance(2000);
    f.take_all<send_poll>();
}

/** Lets workers answer polls, with a change that calls for a plan each time. */
void answer_polls(coordinator_fixture& f, time_ms duration_ms) {
    constexpr time_ms tick_ms = 25;
    for (time_ms at = 0; at < duration_ms; ++at) {
        ++f.now.monotonic_ms;
        f.state.plan_needed = true;
        f.send(poll_failed{"unknown"});
        if (at % tick_ms == 0) {
            f.send(tick{});
        }
        f.take_all<send_poll>();
    }
}

} // namespace

// Guards against a leader whose processor time goes into planning a long backlog anew with each
// event: it renewed its lease too late.
TEST_CASE("a leader with a long backlog doesn't plan it with each event") {
    coordinator_fixture f;
    fill(f);
    REQUIRE(f.state.waiting_jobs.size() >= backlog_jobs);
    const auto before = f.state.pacing.groups_considered;
    answer_polls(f, milliseconds_per_second);
    const auto plans = (f.state.pacing.groups_considered - before) / backlog_jobs;
    CHECK(plans >= 4);
    CHECK(plans <= 20);
}

TEST_CASE("an urgent job is planned at once, whatever the backlog") {
    coordinator_fixture f;
    fill(f);
    answer_polls(f, 1); // begins the pause after a plan
    const auto before = f.state.pacing.groups_considered;
    f.send(job_submitted{f.make_job("urgent", 1, small_task, 0)});
    CHECK(f.take<send_stop>());
    CHECK(f.state.pacing.groups_considered - before < 10);
}

TEST_CASE("a job that isn't urgent is planned after a pause that doesn't grow with its length") {
    coordinator_fixture f;
    fill(f);
    answer_polls(f, 1);
    const std::string worker = f.state.workers.begin()->first;
    const task_id running = *f.state.workers.begin()->second.assigned.begin();
    f.answer_poll(worker, {}, {{1, running, 1, end_reason::done, ""}});
    bool placed = false;
    for (time_ms waited = 0; waited < milliseconds_per_second && !placed; waited += 25) {
        f.advance(25);
        placed = f.take<send_start>().has_value();
    }
    CHECK(placed);
}

TEST_CASE("with a short backlog each event plans at once") {
    plan_pacing pacing;
    note_plan(pacing, plan_scope::all, 20, 100);
    CHECK(due_plan(pacing, true, false, 100) == plan_scope::all);
    CHECK(due_plan(pacing, false, true, 100) == plan_scope::none);
}

TEST_CASE("a plan of urgent jobs leaves the plan of all jobs due") {
    plan_pacing pacing;
    note_plan(pacing, plan_scope::all, 3000, 1000);
    CHECK(due_plan(pacing, true, false, 1001) == plan_scope::none);
    CHECK(due_plan(pacing, true, true, 1001) == plan_scope::urgent);
    note_plan(pacing, plan_scope::urgent, 1, 1001);
    CHECK(due_plan(pacing, false, true, 1002) == plan_scope::none);
    CHECK(due_plan(pacing, false, false, 2000) == plan_scope::all);
    note_plan(pacing, plan_scope::all, 1'000'000, 2000);
    CHECK(due_plan(pacing, true, false, 3000) == plan_scope::all);
}
