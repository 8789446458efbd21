#include "coordinator_fixture.h"
#include "start_planner.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <optional>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr int workers = 1100;
constexpr int workers_per_rack = 20;
constexpr resources worker_capacity_total{128'000, 524'288, 8};
constexpr instant start_time{1'000'000, 1'700'000'000'000};

std::string name(const char* kind, int number) {
    return kind + std::to_string(number);
}

/** Returns a job of a mix of gangs and of independent tasks, a part of it urgent. */
job_spec make_job(int number) {
    job_spec spec = coordinator_fixture::make_job(name("job-", number), 8, {15'000, 16'384, 1},
                                                  number % 10 == 0 ? 0 : 1 + number % 2);
    spec.account = name("account-", number % 24);
    spec.accepted_wall_ms = start_time.wall_ms - 5000;
    step_spec& step = spec.steps.front();
    if (number % 8 == 1) {
        step.task_count = 26;
        step.per_task = {52'000, 65'536, 2 + number % 7};
        step.gang = true;
        step.same_rack = true;
    } else if (number % 8 == 2) {
        step.task_count = 78;
        step.per_task = {11'000, 16'384, 1};
        step.data_rack = name("rack-", number % (workers / workers_per_rack));
    }
    return spec;
}

std::vector<stored_job> make_stored_jobs(int count) {
    std::vector<stored_job> jobs;
    for (int i = 0; i < count; ++i) {
        jobs.push_back({make_job(i), ""});
    }
    return jobs;
}

workers_reported make_registry() {
    workers_reported read;
    for (int i = 0; i < workers; ++i) {
        worker_report report = coordinator_fixture::make_report(
            name("worker-", i), name("rack-", i / workers_per_rack));
        report.capacity = worker_capacity_total;
        read.changes.emplace_back(worker_reported{std::move(report), 0});
    }
    read.complete = true;
    return read;
}

/** A leader that has taken over a backlog; its workers have answered, and the first plan has filled
 * them. */
class backlogged_leader {
public:
    explicit backlogged_leader(int jobs) {
        state = recover({}, make_stored_jobs(jobs), now, 0);
        send(make_registry());
        for (int i = 0; i < workers; ++i) {
            worker_status status;
            status.started_wall_ms = 1;
            status.clock_ms = now.monotonic_ms;
            send(poll_answered{name("worker-", i), now.monotonic_ms, std::move(status)});
        }
        for (int i = 0; i < 3; ++i) {
            now.monotonic_ms += milliseconds_per_second;
            send(tick{});
            send(records_stored{});
        }
    }

    void send(const event& e) {
        effects out;
        reduce(state, now, e, out);
    }

    instant now = start_time;
    coordinator_state state;
};

void recover_jobs(benchmark::State& state) {
    const auto jobs = make_stored_jobs(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        state.PauseTiming();
        auto copy = jobs;
        std::optional<coordinator_state> recovered;
        state.ResumeTiming();
        recovered = recover({}, std::move(copy), start_time, 0);
        state.PauseTiming();
        recovered.reset();
        state.ResumeTiming();
    }
}

void apply_registry(benchmark::State& state) {
    const auto jobs = make_stored_jobs(static_cast<int>(state.range(0)));
    const event read = make_registry();
    for (auto _ : state) {
        state.PauseTiming();
        std::optional<coordinator_state> recovered = recover({}, jobs, start_time, 0);
        effects out;
        state.ResumeTiming();
        reduce(*recovered, start_time, read, out);
        state.PauseTiming();
        recovered.reset();
        state.ResumeTiming();
    }
}

/** One plan that places nothing, as the workers are full. */
void plan_backlog(benchmark::State& state) {
    backlogged_leader leader(static_cast<int>(state.range(0)));
    std::size_t placed = 0;
    for (auto _ : state) {
        placed +=
            make_plan(leader.state, plan_scope::all, leader.now.monotonic_ms).placements.size();
    }
    state.counters["placed"] = static_cast<double>(placed);
    state.counters["waiting"] = static_cast<double>(leader.state.waiting_jobs.size());
}

/** The ends of runs that leave room for further tasks, one event each. */
void handle_events(benchmark::State& state) {
    backlogged_leader leader(static_cast<int>(state.range(0)));
    int next = 0;
    for (auto _ : state) {
        leader.now.monotonic_ms += 2;
        leader.state.plan_needed = true;
        worker_status status;
        status.started_wall_ms = 1;
        status.clock_ms = leader.now.monotonic_ms;
        leader.send(poll_answered{name("worker-", next++ % workers), leader.now.monotonic_ms,
                                  std::move(status)});
        leader.send(records_stored{});
    }
}

enum class step_shape { chain, all_before, wide };

void plan_steps(benchmark::State& state) {
    const auto shape = static_cast<step_shape>(state.range(0));
    job_spec spec = make_job(3);
    for (std::uint32_t s = 1; s < static_cast<std::uint32_t>(state.range(1)); ++s) {
        step_spec next = spec.steps.front();
        next.depends_on.clear();
        for (std::uint32_t earlier = shape == step_shape::chain ? s - 1 : 0;
             shape != step_shape::wide && earlier < s; ++earlier) {
            next.depends_on.push_back(earlier);
        }
        spec.steps.push_back(std::move(next));
    }
    for (auto _ : state) {
        state.PauseTiming();
        coordinator_state leader = recover({}, {{spec, ""}}, start_time, 0);
        state.ResumeTiming();
        benchmark::DoNotOptimize(make_plan(leader, plan_scope::all, start_time.monotonic_ms));
    }
}

} // namespace

int main(int argc, char** argv) {
    benchmark::Initialize(&argc, argv);
    const std::pair<const char*, void (*)(benchmark::State&)> by_jobs[] = {
        {"recover_jobs", recover_jobs},
        {"apply_registry", apply_registry},
        {"plan_backlog", plan_backlog},
        {"handle_events", handle_events}};
    for (const auto& [title, run] : by_jobs) {
        benchmark::RegisterBenchmark(title, run)
            ->ArgName("jobs")
            ->Arg(300)
            ->Arg(3000)
            ->Arg(30'000)
            ->Unit(benchmark::kMicrosecond)
            ->MinTime(0.2);
    }
    benchmark::RegisterBenchmark("plan_steps", plan_steps)
        ->ArgNames({"shape", "steps"})
        ->ArgsProduct(
            {{static_cast<int>(step_shape::chain), static_cast<int>(step_shape::all_before),
              static_cast<int>(step_shape::wide)},
             {16, 64, 256}})
        ->Unit(benchmark::kMicrosecond)
        ->MinTime(0.1);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
