#include "coordinator_fixture.h"
#include "simulated_cluster.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr int workers = 16;
/** A task may be started this often if every start crashes a worker: twice more after the third. */
constexpr int max_starts = 5;
const task_id crashing_task{"crashing", 0, 0, 1};

job_spec make_job(const std::string& id, int tasks, int priority = 1) {
    auto spec = coordinator_fixture::make_job(id, static_cast<std::uint32_t>(tasks),
                                              {4000, 16'384, 2}, priority);
    spec.steps[0].estimate_ms = 4000;
    return spec;
}

/** Submits a job with a crashing task into a steady stream of sound jobs. */
void play_crashing_task(simulated_cluster& cluster, time_ms crashes_after_ms,
                        time_ms leader_change_interval_ms = 0) {
    constexpr int seconds = 60;
    cluster.set_crashing_task(crashing_task, crashes_after_ms);
    for (int s = 0; s < seconds; ++s) {
        cluster.submit(make_job("sound-" + std::to_string(s), 4, s % 3));
        if (s == 3) {
            cluster.submit(make_job("crashing", 3));
        }
        cluster.run_for(milliseconds_per_second);
        if (leader_change_interval_ms > 0 &&
            s % (leader_change_interval_ms / milliseconds_per_second) == 0) {
            cluster.change_leader();
        }
    }
    cluster.run_for(30 * milliseconds_per_second);
}

job_state state_of(const simulated_cluster& cluster, const std::string& id) {
    return cluster.state().jobs.at(id)->visible_state;
}

void check_outcome(const simulated_cluster& cluster) {
    CHECK(cluster.start_count(crashing_task) <= max_starts);
    CHECK(state_of(cluster, "crashing") == job_state::failed);
    for (const auto& [id, j] : cluster.state().jobs) {
        INFO("job " << id);
        CHECK((id == "crashing" || j->visible_state == job_state::completed));
    }
}

} // namespace

TEST_CASE("a task that crashes each worker that starts it is not started on a sixth",
          "[!shouldfail]") {
    const auto outcome =
        GENERATE(crash_outcome::replaced, crash_outcome::restarted, crash_outcome::lost);
    const time_ms crashes_after_ms = GENERATE(0, 2000);
    INFO("outcome " << static_cast<int>(outcome) << " after " << crashes_after_ms);
    simulated_cluster cluster(workers, {}, {});
    cluster.set_crash_outcome(outcome);
    play_crashing_task(cluster, crashes_after_ms);
    check_outcome(cluster);
}

TEST_CASE("a task that crashes its workers is given up although the leader changes all the time",
          "[!shouldfail]") {
    const auto outcome = GENERATE(crash_outcome::replaced, crash_outcome::restarted);
    simulated_cluster cluster(workers, {}, {});
    cluster.set_crash_outcome(outcome);
    play_crashing_task(cluster, 0, 2000);
    check_outcome(cluster);
}
