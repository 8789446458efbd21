#include "coordinator_fixture.h"
#include "simulated_cluster.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

/** Time within which guaranteed jobs must start in the larger deployments. */
constexpr time_ms reclaim_ms = 2700;
constexpr int workers = 48;
constexpr int accelerators = workers * 8;
constexpr time_ms long_run_ms = 60'000;

settings make_settings() {
    settings s;
    s.reclaim_ms = reclaim_ms;
    return s;
}

job_spec make_job(const std::string& id, int priority, int tasks,
                  std::int64_t accelerators_per_task, time_ms estimate_ms, bool gang = false) {
    auto spec = coordinator_fixture::make_job(id, static_cast<std::uint32_t>(tasks),
                                              {4000, 16'384, accelerators_per_task}, priority);
    spec.account = priority == 0 ? "owner" : "other";
    spec.steps[0].estimate_ms = estimate_ms;
    spec.steps[0].gang = gang;
    spec.steps[0].same_rack = gang;
    return spec;
}

/** Occupies all accelerators with long-running jobs and queues `waiting_jobs` more. */
void fill_cluster(simulated_cluster& cluster, int waiting_jobs) {
    cluster.set_guarantee("owner", accelerators / 4);
    for (int i = 0; i < accelerators / 8 + waiting_jobs; ++i) {
        cluster.submit(make_job("long-" + std::to_string(i), 1 + i % 2, 4, 2, long_run_ms));
    }
    cluster.run_for(1500);
}

void check_started_in_time(const simulated_cluster& cluster, const std::string& id) {
    INFO("job " << id);
    const time_ms start_delay_ms = cluster.last_start_delay_ms(id);
    CHECK(start_delay_ms >= 0);
    CHECK(start_delay_ms <= reclaim_ms);
}

} // namespace

TEST_CASE("a burst of guaranteed jobs on a full cluster starts within the reclaim limit") {
    simulated_cluster cluster(workers, make_settings(), {});
    fill_cluster(cluster, 100);
    for (int i = 0; i < 12; ++i) {
        cluster.submit(make_job("urgent-" + std::to_string(i), 0, 4, 1, 2500));
    }
    cluster.run_for(reclaim_ms + 100);
    for (int i = 0; i < 12; ++i) {
        check_started_in_time(cluster, "urgent-" + std::to_string(i));
    }
}

TEST_CASE("a guaranteed gang in one rack of a full cluster starts within the reclaim limit") {
    simulated_cluster cluster(workers, make_settings(), {});
    fill_cluster(cluster, 20);
    cluster.submit(make_job("gang", 0, 8, 8, 2500, true));
    cluster.run_for(reclaim_ms + 100);
    check_started_in_time(cluster, "gang");
}

TEST_CASE("guaranteed jobs start within the reclaim limit while the store is slow") {
    // 200 ms is fifty times the usual 4 ms, as in the deployments' fault scenarios.
    simulated_cluster cluster(workers, make_settings(), {5, 200, 400});
    fill_cluster(cluster, 100);
    for (int i = 0; i < 6; ++i) {
        cluster.submit(make_job("urgent-" + std::to_string(i), 0, 8, 1, 2500));
        cluster.run_for(100);
    }
    cluster.run_for(reclaim_ms + 100);
    for (int i = 0; i < 6; ++i) {
        check_started_in_time(cluster, "urgent-" + std::to_string(i));
    }
}

TEST_CASE("guaranteed jobs start within the reclaim limit right after a leader change") {
    simulated_cluster cluster(workers, make_settings(), {});
    fill_cluster(cluster, 100);
    cluster.submit(make_job("before", 0, 16, 2, 2500));
    cluster.run_for(50);
    cluster.change_leader();
    cluster.submit(make_job("after", 0, 16, 2, 2500));
    cluster.run_for(reclaim_ms + 100);
    check_started_in_time(cluster, "before");
    check_started_in_time(cluster, "after");
}

TEST_CASE("jobs without a guarantee preempt nothing and start as running jobs end") {
    simulated_cluster cluster(workers, make_settings(), {});
    fill_cluster(cluster, 100);
    cluster.run_for(2000);
    for (int i = 0; i < accelerators / 8 + 100; ++i) {
        CHECK(cluster.stop_count("long-" + std::to_string(i)) == 0);
    }
    cluster.run_for(long_run_ms + 5000);
    std::size_t started_jobs = 0;
    for (const auto& [id, j] : cluster.state().jobs) {
        started_jobs += j->started ? 1 : 0;
    }
    CHECK(started_jobs >= 2 * accelerators / 8);
}
