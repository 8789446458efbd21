#include "coordinator_fixture.h"
#include "stall_evidence.h"

#include <catch2/catch.hpp>

namespace fulmarworks::scheduler {

namespace {

/** Lets a run stand at `percent` for `for_ms` while its worker answers a poll every 500 ms. */
void stand_still(coordinator_fixture& f, const std::vector<task_id>& tasks, int percent,
                 time_ms for_ms) {
    for (time_ms passed = 0; passed < for_ms; passed += 500) {
        f.advance(500);
        std::vector<active_run> active;
        for (const auto& id : tasks) {
            active.push_back({id, 1, "", percent});
        }
        f.answer_poll("w1", active);
    }
    f.advance(50);
}

const task_id only_task{"a", 0, 0, 0};

} // namespace

TEST_CASE("stall evidence: a verdict for each kind of observation") {
    CHECK(judge_progress({40, 2999}) == progress_verdict::advancing);
    CHECK(judge_progress({40, 3000}) == progress_verdict::stalled);
    CHECK(judge_progress({100, 3000}) == progress_verdict::may_be_long);
    CHECK(judge_progress({100, 29999}) == progress_verdict::may_be_long);
    CHECK(judge_progress({100, 30000}) == progress_verdict::stalled);
    CHECK(judge_progress({100, 3000, true}) == progress_verdict::stalled);
    CHECK(judge_progress({100, 8000, false, 8000}) == progress_verdict::stalled);
    CHECK(judge_progress({100, 2000, false, 1000}) == progress_verdict::advancing);
}

// Guards against tasks of minutes and hours that are stopped between two whole percents, and begun
// again for ever.
TEST_CASE("stall evidence: a run that reports whole percents isn't stopped between two of them") {
    coordinator_fixture f;
    f.add_worker("w1");
    auto spec = f.make_job("a", 1, {1000, 1000, 1});
    spec.steps[0].estimate_ms = 400'000;
    f.send(job_submitted{std::move(spec)});
    f.accept_start(*f.take<send_start>());
    f.advance(50);
    f.take_all<send_poll>();
    for (int percent = 0; percent < 5; ++percent) {
        stand_still(f, {only_task}, percent, 4000);
    }
    CHECK_FALSE(f.take<send_stop>());
    stand_still(f, {only_task}, 5, 10'000); // stalls
    CHECK(f.take<send_stop>());
}

TEST_CASE("stall evidence: a task that was stopped before gets twice the time at each start") {
    progress_observation o{40, 5999};
    o.earlier_starts = 1;
    CHECK(judge_progress(o) == progress_verdict::advancing);
    o.unchanged_for_ms = 6000;
    CHECK(judge_progress(o) == progress_verdict::stalled);
    o.earlier_starts = 7; // a percent of a run of ten hours takes 360 s
    o.unchanged_for_ms = 360'000;
    CHECK(judge_progress(o) == progress_verdict::advancing);
    o.earlier_starts = 1'000'000;
    CHECK(judge_progress(o) == progress_verdict::advancing);
}

// Guards against long tasks that are stopped at their usual run time and never finish.
TEST_CASE("stall evidence: a task that runs seven times longer than usual isn't stopped") {
    coordinator_fixture f;
    run_one_task(f);
    stand_still(f, {only_task}, 50, 1000);
    stand_still(f, {only_task}, 100, 15000);
    CHECK_FALSE(f.take<send_stop>());
}

// Guards against workers that keep their lease but make no progress.
TEST_CASE("stall evidence: a run that stands still below 100 percent is stopped") {
    coordinator_fixture f;
    run_one_task(f);
    stand_still(f, {only_task}, 50, 4000);
    CHECK(f.take<send_stop>());
}

// Guards against runs at 100 percent that are left on a worker that is known to be stalled.
TEST_CASE("stall evidence: a stalled run shows that the worker's other runs are stalled") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.send(job_submitted{f.make_job("a", 2, {1000, 1000, 1})});
    for (const auto& order : f.take_all<send_start>()) {
        f.accept_start(order);
    }
    f.take_all<send_poll>();
    for (int i = 0; i < 8; ++i) {
        f.advance(500);
        f.answer_poll("w1", {{{"a", 0, 0, 0}, 1, "", 100}, {{"a", 0, 0, 1}, 1, "", 60}});
    }
    CHECK(f.take_all<send_stop>().size() >= 2);
}

} // namespace fulmarworks::scheduler
