#include "coordinator_fixture.h"
#include "simulated_cluster.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr int workers = 16;
constexpr const char* label = "special";
/** A job must not be idle for this long while there is capacity for it. */
constexpr time_ms longest_idle_ms = 3000;
constexpr time_ms run_ms = 1500;

enum class step_kind { plain, gang, long_running, repeated, urgent };

std::string worker_name(int number) {
    return "w" + std::to_string(number);
}

/** Returns a job whose tasks need a label and spread over the workers that have it. */
job_spec make_job(step_kind kind, std::uint32_t tasks, std::uint32_t tasks_per_worker) {
    auto spec = coordinator_fixture::make_job("job", tasks, {4000, 16'384, 1},
                                              kind == step_kind::urgent ? 0 : 2);
    spec.policy.max_attempts = 3;
    spec.repeat_count = kind == step_kind::repeated ? 2 : 0;
    step_spec& step = spec.steps[0];
    step.estimate_ms = run_ms;
    step.required_label = label;
    step.max_tasks_per_worker = tasks_per_worker;
    step.gang = kind == step_kind::gang;
    step.long_running = kind == step_kind::long_running;
    return spec;
}

/** Returns how many tasks of the job run. */
int count_running(const simulated_cluster& cluster, const job_spec& spec) {
    int running = 0;
    for (std::uint32_t k = 0; k < std::max(spec.repeat_count, 1U); ++k) {
        for (std::uint32_t i = 0; i < spec.steps[0].task_count; ++i) {
            running += cluster.worker_of({spec.id, k, 0, i}).empty() ? 0 : 1;
        }
    }
    return running;
}

bool is_served(const simulated_cluster& cluster, const job_spec& spec) {
    return cluster.state().jobs.at(spec.id)->visible_state == job_state::completed ||
           count_running(cluster, spec) == static_cast<int>(spec.steps[0].task_count);
}

} // namespace

// Guards against a job that stays open for good (review/4): a worker on which one task of a step
// had failed was closed to the whole step, until no worker was left.
TEST_CASE("a step runs again on its workers after each of them has failed one of its tasks") {
    const auto kind = GENERATE(step_kind::plain, step_kind::gang, step_kind::long_running,
                               step_kind::repeated, step_kind::urgent);
    const int labelled = GENERATE(1, 2);
    const bool leader_changes = GENERATE(false, true);
    INFO("kind " << static_cast<int>(kind) << ", workers " << labelled << ", leader changes "
                 << leader_changes);
    simulated_cluster cluster(workers, {}, {});
    for (int i = 0; i < labelled; ++i) {
        cluster.add_label(worker_name(i), label);
        cluster.set_failing(worker_name(i), true);
    }
    const auto spec = make_job(kind, static_cast<std::uint32_t>(labelled) * 2, 2);
    cluster.submit(spec);
    cluster.run_for(1000);
    REQUIRE(count_running(cluster, spec) == 0);
    REQUIRE(cluster.start_count({"job", 0, 0, 0}) >= 1);
    if (leader_changes) {
        cluster.change_leader();
    }
    cluster.run_for(1000);
    for (int i = 0; i < labelled; ++i) {
        cluster.set_failing(worker_name(i), false);
    }
    bool runs = false;
    for (time_ms waited = 0; waited < longest_idle_ms && !runs; waited += 100) {
        cluster.run_for(100);
        runs = count_running(cluster, spec) > 0;
    }
    CHECK(runs);
    bool served = false;
    for (int i = 0; i < 20 && !served; ++i) {
        cluster.run_for(500);
        served = is_served(cluster, spec);
    }
    CHECK(served);
}

TEST_CASE("a task that failed is not tried at once on the only workers, which all fail it") {
    simulated_cluster cluster(workers, {}, {});
    cluster.add_label("w0", label);
    cluster.add_label("w1", label);
    cluster.set_failing("w0", true);
    cluster.set_failing("w1", true);
    cluster.submit(make_job(step_kind::plain, 4, 2));
    cluster.run_for(longest_idle_ms);
    for (std::uint32_t i = 0; i < 4; ++i) {
        CHECK(cluster.start_count({"job", 0, 0, i}) <= 2);
    }
    CHECK(cluster.state().jobs.at("job")->visible_state != job_state::failed);
}

// Guards against attempts that are lost on a worker that fails all it starts.
TEST_CASE("no task of a step is placed where one failed while other workers are free") {
    simulated_cluster cluster(workers, {}, {});
    cluster.set_failing("w0", true);
    auto spec = make_job(step_kind::plain, 3 * workers, 0);
    spec.steps[0].required_label.clear();
    cluster.submit(spec);
    cluster.run_for(30 * milliseconds_per_second);
    CHECK(cluster.state().jobs.at("job")->visible_state == job_state::completed);
    for (std::uint32_t i = 0; i < spec.steps[0].task_count; ++i) {
        CHECK(cluster.start_count({"job", 0, 0, i}) <= 2);
    }
}

// The failures of one replica say nothing about the worker, and must not hold up the others.
TEST_CASE(
    "a long-running task returns to its only worker although others fail there all the time") {
    simulated_cluster cluster(workers, {}, {});
    cluster.add_label("w0", label);
    const auto spec = make_job(step_kind::long_running, 3, 0);
    cluster.submit(spec);
    cluster.set_failing_task({"job", 0, 0, 0});
    cluster.set_failing_task({"job", 0, 0, 1});
    cluster.run_for(1000);
    cluster.fail_run({"job", 0, 0, 2});
    constexpr time_ms restart_limit_ms = 6000;
    cluster.run_for(restart_limit_ms);
    CHECK(cluster.worker_of({"job", 0, 0, 2}) == "w0");
    CHECK(cluster.start_count({"job", 0, 0, 0}) > 2);
}
