#include "invariant_checker.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::soak;

namespace {

constexpr scheduler::resources capacity{128000, 262144, 8};
constexpr scheduler::resources small{1000, 1024, 1};
constexpr scheduler::resources too_much{1000, 1024, 9};

/** A checker with one accepted job: step 0 has two tasks, step 1 has one task and depends on it. */
struct checker_fixture {
    invariant_checker checker;
    task_name first = parse_task_name("a.0.0.0");
    task_name second = parse_task_name("a.0.0.1");
    task_name dependent = parse_task_name("a.0.1.0");

    checker_fixture() {
        caller_view view;
        view.shape.steps = {{2, small, 100, false, {}}, {1, small, 100, false, {0}}};
        view.accepted = true;
        view.accepted_at = monotonic_now();
        checker.jobs["a"] = view;
    }

    void run(const task_name& task, const std::string& reason) {
        checker.run_started(task, 1, "w1", small, capacity);
        checker.run_ended(task, reason);
        checker.end_acknowledged(task, reason);
    }

    void run_all() {
        run(first, "done");
        run(second, "done");
        run(dependent, "done");
    }

    /** Returns the first five letters of the first violated rule; empty if there is none. */
    [[nodiscard]] std::string first_rule() const {
        return checker.violations().empty() ? "" : checker.violations().front().substr(0, 5);
    }
};

} // namespace

TEST_CASE("a job that runs to completion violates no rule") {
    checker_fixture f;
    f.run_all();
    f.checker.state_shown("a", "completed");
    f.checker.check_final_state();
    CHECK(f.first_rule().empty());
}

TEST_CASE("a start long after the store accepted that its worker drains violates DRAIN") {
    constexpr time_ms late_ms = 2100;
    checker_fixture f;
    f.checker.drain_accepted("w1");
    f.checker.prompt_start(f.first, "w1");
    CHECK(f.first_rule().empty());
    const time_ms until = monotonic_now() + late_ms;
    while (monotonic_now() < until) {
    }
    f.checker.prompt_start(f.first, "w2");
    CHECK(f.first_rule().empty());
    f.checker.prompt_start(f.first, "w1");
    CHECK(f.first_rule() == "DRAIN");
}

TEST_CASE("two concurrent runs of a task violate TWICE") {
    checker_fixture f;
    f.checker.run_started(f.first, 1, "w1", small, capacity);
    f.checker.run_started(f.first, 2, "w2", small, capacity);
    CHECK(f.first_rule() == "TWICE");
}

TEST_CASE("a run after an acknowledged completion violates TWICE") {
    checker_fixture f;
    f.run(f.first, "done");
    f.checker.run_started(f.first, 2, "w2", small, capacity);
    CHECK(f.first_rule() == "TWICE");
}

TEST_CASE("a start beyond the worker's capacity violates LIMIT") {
    checker_fixture f;
    f.checker.run_started(f.first, 1, "w1", too_much, capacity);
    CHECK(f.first_rule() == "LIMIT");
}

TEST_CASE("a start before the steps that it depends on violates ORDER") {
    checker_fixture f;
    f.run(f.first, "done");
    f.checker.run_started(f.dependent, 1, "w1", small, capacity);
    CHECK(f.first_rule() == "ORDER");
}

TEST_CASE("a start after the last allowed attempt violates BUDGET") {
    checker_fixture f;
    for (int i = 0; i < 4; ++i) {
        f.run(f.first, "failed");
    }
    CHECK(f.first_rule().empty());
    f.checker.run_started(f.first, 5, "w1", small, capacity);
    CHECK(f.first_rule() == "BUDGE");
}

TEST_CASE("a third start after three workers have crashed under a task violates BUDGET") {
    checker_fixture f;
    for (int i = 0; i < 5; ++i) {
        f.run(f.first, "crashed");
    }
    CHECK(f.first_rule().empty());
    f.checker.run_started(f.first, 6, "w1", small, capacity);
    CHECK(f.first_rule() == "BUDGE");
}

TEST_CASE("a job may be shown as failed once two workers have crashed under one of its tasks") {
    checker_fixture f;
    f.run(f.first, "crashed");
    f.run(f.first, "crashed");
    f.checker.state_shown("a", "failed");
    CHECK(f.first_rule().empty());
}

TEST_CASE("a start of an unknown job, or long after the cancellation, violates UNASKED") {
    checker_fixture f;
    f.checker.run_started(parse_task_name("b.0.0.0"), 1, "w1", small, capacity);
    CHECK(f.first_rule() == "UNASK");
    checker_fixture cancelled;
    constexpr time_ms past_limit_ms = 10000;
    cancelled.checker.jobs["a"].cancel_confirmed_at = monotonic_now() - past_limit_ms;
    cancelled.checker.run_started(cancelled.first, 1, "w1", small, capacity);
    CHECK(cancelled.first_rule() == "UNASK");
}

TEST_CASE("a run of a job that was refused on every attempt violates REFUSED") {
    checker_fixture f;
    f.checker.jobs["a"].accepted = false;
    f.run(f.first, "done");
    f.checker.check_final_state();
    CHECK(f.first_rule() == "REFUS");
}

TEST_CASE("a job that is shown as completed before all steps are violates MIXED") {
    checker_fixture f;
    f.run(f.first, "done");
    f.checker.state_shown("a", "completed");
    CHECK(f.first_rule() == "MIXED");
}

TEST_CASE("an accepted job that is unknown, ends without cause or never ends violates LOST") {
    constexpr time_ms past_limit_ms = 10000;
    checker_fixture unknown;
    unknown.checker.jobs["a"].accepted_at -= past_limit_ms;
    unknown.checker.job_not_found("a");
    CHECK(unknown.first_rule() == "LOST:");
    checker_fixture failed;
    failed.checker.state_shown("a", "failed");
    CHECK(failed.first_rule() == "LOST:");
    checker_fixture cancelled;
    cancelled.checker.state_shown("a", "cancelled");
    CHECK(cancelled.first_rule() == "LOST:");
    checker_fixture unfinished;
    unfinished.checker.check_final_state();
    CHECK(unfinished.first_rule() == "LOST:");
}

TEST_CASE("a violation is reported with the runs of its job only") {
    checker_fixture f;
    f.checker.run_started(f.first, 1, "w1", small, capacity);
    f.checker.run_started(f.first, 2, "w2", small, capacity);
    f.checker.run_ended(f.first, "crashed");
    CHECK(f.checker.violating_jobs() == std::set<std::string>{f.first.job});
    const auto runs = f.checker.run_history(f.first.job);
    REQUIRE(runs.size() == 3);
    CHECK(runs[1].find("event=started run=2 worker=w2") != std::string::npos);
    CHECK(runs[2].find("event=ended reason=crashed") != std::string::npos);
    CHECK(f.checker.run_history("other").empty());
}
