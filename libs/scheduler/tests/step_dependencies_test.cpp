#include "coordinator_fixture.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr time_ms step_ms = 1000;

/** Returns a job whose steps depend on all earlier ones. */
job_spec make_job(std::uint32_t steps) {
    job_spec spec = coordinator_fixture::make_job("a", 1, {1000, 1000, 1});
    spec.steps[0].estimate_ms = step_ms;
    for (std::uint32_t s = 1; s < steps; ++s) {
        step_spec next = spec.steps[0];
        for (std::uint32_t earlier = 0; earlier < s; ++earlier) {
            next.depends_on.push_back(earlier);
        }
        spec.steps.push_back(std::move(next));
    }
    return spec;
}

} // namespace

// Guards against planning whose time doubles with each such step: every host that led hung in turn.
TEST_CASE("a job whose steps depend on all earlier ones is planned and runs step by step") {
    const std::uint32_t steps = GENERATE(30, 256);
    INFO(steps << " steps");
    coordinator_fixture f;
    f.add_worker("w1");
    f.send(job_submitted{make_job(steps)});
    const auto first = f.take<send_start>();
    REQUIRE(first);
    CHECK(first->task.step == 0);
    f.accept_start(*first);
    f.advance(50);
    f.answer_poll("w1", {}, {{1, first->task, first->run, end_reason::done, ""}});
    const auto second = f.take<send_start>();
    REQUIRE(second);
    CHECK(second->task.step == 1);
}

TEST_CASE("the remaining path of a step is the longest chain of steps that wait for it") {
    job_spec spec = make_job(5);
    spec.steps[1].depends_on = {};
    spec.steps[2].depends_on = {0};
    spec.steps[3].depends_on = {0, 1};
    spec.steps[4].depends_on = {3};
    const std::vector<time_ms> run_ms = {1, 20, 300, 4000, 50'000};
    CHECK(remaining_paths_ms(spec, run_ms) ==
          std::vector<time_ms>{54'001, 54'020, 300, 54'000, 50'000});
}
