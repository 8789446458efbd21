#include "coordinator_fixture.h"
#include "expected_run.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr resources whole_worker{1000, 1000, 8};

/** Adds runs of one length whose estimates were useless. */
void learn(coordinator_fixture& f, const std::string& queue, time_ms duration_ms, int runs) {
    for (int i = 0; i < runs; ++i) {
        const time_ms estimate_ms = 500 << i % 8;
        f.state.run_times.add({{queue, "account", 8}, estimate_ms, duration_ms, 1},
                              f.now.monotonic_ms);
    }
}

/** Reports the progress of the run of job `a` on worker w1. */
void report_progress(coordinator_fixture& f, int percent) {
    f.answer_poll("w1", {{{"a", 0, 0, 0}, 1, "", percent}});
}

} // namespace

TEST_CASE("learned run times order two jobs whose callers' estimates are wrong") {
    const bool learned = GENERATE(true, false);
    coordinator_fixture f;
    f.state.limits.learned_run_times = learned;
    learn(f, "slow", 60'000, 20);
    learn(f, "fast", 1000, 20);
    auto slow = f.make_job("a", 1, whole_worker);
    slow.queue = "slow";
    slow.steps[0].estimate_ms = 1000;
    auto fast = f.make_job("b", 1, whole_worker);
    fast.queue = "fast";
    fast.steps[0].estimate_ms = 60'000;
    f.send(job_submitted{slow});
    f.send(job_submitted{fast});
    f.add_worker("w1");
    const auto start = f.take<send_start>();
    REQUIRE(start);
    CHECK(start->task.job == (learned ? "b" : "a"));
}

TEST_CASE("only run times that were measured from the start and weren't slowed are learned") {
    coordinator_fixture f;
    f.add_worker("w1", "r1");
    auto spec = f.make_job("a", 1, whole_worker);
    std::uint64_t expected = 0;
    bool answers_all_polls = true;
    SECTION("an ordinary run") {
        expected = 1;
    }
    SECTION("learning is off") {
        f.state.limits.learned_run_times = false;
    }
    SECTION("data in another rack") {
        spec.steps[0].data_rack = "r2";
    }
    SECTION("an end that may have been listed late") {
        answers_all_polls = false;
    }
    f.send(job_submitted{spec});
    f.accept_start(*f.take<send_start>());
    f.advance(2000);
    if (!answers_all_polls) {
        f.send(poll_failed{"w1", order_failure::no_answer});
    }
    f.answer_poll("w1", {}, {{1, {"a", 0, 0, 0}, 1, end_reason::done, ""}});
    CHECK(f.state.jobs.at("a")->visible_state == job_state::completed);
    CHECK(f.state.run_times.samples_added() == expected);
}

TEST_CASE("a run that resumed from a checkpoint isn't learned") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.run_job(f.make_job("a", 1, whole_worker));
    f.advance(500);
    f.answer_poll("w1", {}, {{1, {"a", 0, 0, 0}, 1, end_reason::stopped, "00aa"}});
    f.accept_start(*f.take<send_start>());
    f.advance(500);
    f.answer_poll("w1", {}, {{2, {"a", 0, 0, 0}, 2, end_reason::done, ""}});
    CHECK(f.state.jobs.at("a")->visible_state == job_state::completed);
    CHECK(f.state.run_times.samples_added() == 0);
}

// Without the class, a run at 100 percent looks as if it ended at any moment.
TEST_CASE("a run at 100 percent on a leaving worker is stopped if its class runs far longer") {
    const time_ms usual_ms = GENERATE(1000, 60'000);
    coordinator_fixture f;
    learn(f, "queue", usual_ms, 20);
    f.add_worker("w1");
    f.run_job(f.make_job("a", 1, whole_worker));
    f.advance(500);
    report_progress(f, 100);
    auto report = f.make_report("w1");
    report.draining = true;
    report.remaining_ms = 5000;
    f.send(worker_reported{report});
    f.advance(200);
    CHECK(f.take<send_stop>().has_value() == (usual_ms == 60'000));
}

TEST_CASE("a run at 100 percent stalls after the time that its class justifies") {
    const int runs = GENERATE(50, 120); // too few, and enough, to have seen the tail
    coordinator_fixture f;
    learn(f, "queue", 4000, runs);
    f.add_worker("w1");
    f.run_job(f.make_job("a", 1, whole_worker));
    for (int i = 0; i < 24; ++i) { // 12 s
        f.advance(500);
        report_progress(f, 100);
    }
    f.advance(100);
    CHECK(f.take<send_stop>().has_value() == (runs == 120));
}
