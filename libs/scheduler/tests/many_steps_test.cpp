#include "measured_fleet.h"

#include <catch2/catch.hpp>

namespace fulmarworks::scheduler {

namespace {

/** Returns a job with as many tasks as are allowed, one to an occurrence. */
job_spec make_repeated_job(const std::string& id, int priority) {
    job_spec spec = coordinator_fixture::make_job(id, 1, {1, 1, 0}, priority);
    spec.repeat_count = most_tasks;
    return spec;
}

} // namespace

// Guards against one accepted job whose every plan takes its leader longer than its lease (as
// review/3): each of thousands of steps searched all workers, or all placements of the plan.
TEST_CASE("steps with a limit for each worker are planned in time linear in their number") {
    measured_fleet f(20);
    for (const char* id : {"a", "b", "c", "d"}) {
        auto spec = make_repeated_job(id, 1);
        spec.steps[0].max_tasks_per_worker = 1;
        f.state.batch_open = true; // so that the jobs are planned together
        f.measure(job_submitted{spec});
    }
    f.state.batch_open = false;
    f.handle(tick{});
    CHECK(f.starts == 4 * most_tasks);
    CHECK(f.longest_ms < longest_event_ms);
}

TEST_CASE("many steps that fit nowhere cost a plan one search of the workers, not one each") {
    const bool gang = GENERATE(false, true);
    const bool labelled = GENERATE(false, true);
    const int priority = GENERATE(0, 1);
    INFO("gang " << gang << ", label " << labelled << ", priority " << priority);
    measured_fleet f(4000);
    auto spec = make_repeated_job("a", priority);
    step_spec& step = spec.steps[0];
    if (gang) {
        spec.repeat_count = most_tasks / 2;
        step.task_count = 2;
        step.gang = true;
        step.same_rack = true;
    }
    if (labelled) {
        step.required_label = "nobody";
    } else {
        step.per_task.accelerators = 9;
    }
    f.handle(job_submitted{spec});
    f.wait();
    CHECK(f.starts == 0);
    CHECK(f.longest_ms < longest_event_ms);
    // Another job that fits is placed.
    f.handle(job_submitted{coordinator_fixture::make_job("b", 1, {1, 1, 1}, priority)});
    f.wait();
    CHECK(f.starts == 1);
}

TEST_CASE("the loss of a worker with many small tasks is handled in time linear in the tasks") {
    measured_fleet f(2);
    f.handle(job_submitted{coordinator_fixture::make_job("a", most_tasks, {1, 1, 0})});
    f.longest_ms = 0;
    f.now.monotonic_ms += 1000;
    const std::string busy = f.first_task("a").where.id;
    f.handle(poll_failed{busy, order_failure::other_incarnation});
    f.wait();
    CHECK(f.longest_ms < longest_event_ms);
}

// A run that is stopped may leave capacity for more tasks than the one that it is stopped for. The
// search for the next one finds nothing to stop, which must not count as a failure for larger ones.
TEST_CASE("an urgent job may stop runs in a plan that has stopped others before") {
    coordinator_fixture f;
    for (const char* id : {"w1", "w2"}) {
        f.add_worker(id);
        REQUIRE(f.run_job(
            coordinator_fixture::make_job(std::string("long-") + id, 1, {1000, 1000, 8})));
    }
    f.state.batch_open = true; // so that the urgent jobs are planned together
    constexpr std::pair<const char*, std::int64_t> urgent_jobs[] = {{"a", 2}, {"b", 2}, {"c", 8}};
    for (const auto& [id, accelerators] : urgent_jobs) {
        f.send(job_submitted{coordinator_fixture::make_job(id, 1, {1000, 1000, accelerators}, 0)});
    }
    f.pending_effects.clear();
    f.state.batch_open = false;
    f.send(tick{});
    CHECK(f.take_all<send_stop>().size() == 2);
}

} // namespace fulmarworks::scheduler
