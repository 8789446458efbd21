#include "coordinator_fixture.h"
#include "simulated_cluster.h"
#include "urgent_headroom.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr int workers = 64;
constexpr int accelerators = workers * 8;
/** Latency objective of urgent jobs on the larger deployments. */
constexpr time_ms start_objective_ms = 300;

job_spec make_job(const std::string& id, int priority, std::uint32_t tasks,
                  std::int64_t accelerators_per_task, time_ms estimate_ms) {
    auto spec =
        coordinator_fixture::make_job(id, tasks, {1000, 1000, accelerators_per_task}, priority);
    spec.account = priority == 0 ? "urgent" : "other";
    spec.steps[0].estimate_ms = estimate_ms;
    spec.steps[0].gang = priority == 0;
    spec.steps[0].same_rack = priority == 0;
    return spec;
}

struct replay_result {
    int urgent_jobs = 0;
    int urgent_in_time = 0;
    int other_jobs_ended = 0;
    int stopped_runs = 0;
};

/**
 * Replays a steady stream of urgent gangs, a fifth of the fleet's capacity, on a fleet that is full
 * of less urgent tasks with more of them waiting.
 */
replay_result replay_stream() {
    constexpr int seconds = 30;
    constexpr int other_jobs = 220;
    constexpr int gangs_per_s = 2;
    simulated_cluster cluster(workers, {}, {});
    for (int i = 0; i < other_jobs; ++i) {
        cluster.submit(make_job("other-" + std::to_string(i), 2, 60, 1, 4000 + i * 37 % 4000));
    }
    cluster.run_for(3000);
    replay_result result;
    for (int i = 0; i < seconds * gangs_per_s; ++i) {
        cluster.submit(make_job("urgent-" + std::to_string(i), 0, 5, 4, 2500));
        cluster.run_for(1000 / gangs_per_s);
    }
    cluster.run_for(5000);
    // The first gangs show what arrives; before that there is no headroom.
    for (int i = 2 * gangs_per_s; i < seconds * gangs_per_s; ++i) {
        const time_ms delay = cluster.last_start_delay_ms("urgent-" + std::to_string(i));
        ++result.urgent_jobs;
        result.urgent_in_time += delay >= 0 && delay <= start_objective_ms ? 1 : 0;
    }
    for (int i = 0; i < other_jobs; ++i) {
        const std::string id = "other-" + std::to_string(i);
        result.other_jobs_ended += cluster.state().jobs.at(id)->ended() ? 1 : 0;
        result.stopped_runs += cluster.stop_count(id);
    }
    return result;
}

} // namespace

TEST_CASE("a steady stream of urgent gangs on a full fleet starts within its latency objective") {
    const replay_result r = replay_stream();
    CAPTURE(r.urgent_jobs, r.urgent_in_time, r.other_jobs_ended, r.stopped_runs);
    CHECK(r.urgent_in_time * 100 >= r.urgent_jobs * 95);
    // Less urgent work goes on: four fifths of the fleet for 35 s are enough for 40 of its jobs.
    CHECK(r.other_jobs_ended >= 40);
}

TEST_CASE("headroom follows what arrives, at least one job, and is bounded") {
    constexpr std::int64_t all = 1000;
    settings limits;
    limits.stop_timeout_ms = 400;
    urgent_arrivals arrivals;
    CHECK(headroom_accelerators(arrivals, limits, all, 0) == 0);
    arrivals.add(1000, 32);
    CHECK(headroom_accelerators(arrivals, limits, all, 1000) == 32);
    for (time_ms at = 2000; at <= 9000; at += 100) {
        arrivals.add(at, 8);
    }
    const auto steady = headroom_accelerators(arrivals, limits, all, 9000);
    CHECK(steady >= 70); // 80 accelerators a second, for the time of a stop
    CHECK(steady <= 100);
    for (int i = 0; i < 100; ++i) {
        arrivals.add(9000, 100);
    }
    CHECK(headroom_accelerators(arrivals, limits, all, 9000) == 150);
    CHECK(headroom_accelerators(arrivals, limits, all, 60'000) == 0);
}

TEST_CASE("tasks that aren't urgent stay out of the headroom unless their data is there") {
    coordinator_fixture f;
    f.add_worker("w1", "r1");
    f.add_worker("w2", "r2");
    f.state.recent_urgent_jobs.add(f.now.monotonic_ms, 2);
    auto first = f.make_job("filler", 1, {1000, 1000, 1}, 1);
    first.steps[0].data_rack = "r2";
    f.send(job_submitted{first});
    REQUIRE(f.take_all<send_start>().size() == 1); // r1 has more free accelerators now
    f.send(job_submitted{f.make_job("other", 16, {1000, 1000, 1}, 1)});
    for (const auto& start : f.take_all<send_start>()) {
        CHECK(start.where.id == "w2");
    }
    auto local = f.make_job("local", 1, {1000, 1000, 1}, 1);
    local.steps[0].data_rack = "r1";
    f.send(job_submitted{local});
    const auto started = f.take<send_start>();
    REQUIRE(started);
    CHECK(started->where.id == "w1");
    f.send(job_submitted{f.make_job("urgent", 1, {1000, 1000, 4}, 0)});
    const auto urgent = f.take<send_start>();
    REQUIRE(urgent);
    CHECK(urgent->where.id == "w1");
}
