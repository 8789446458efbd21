#include "busy_fleet.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <memory>

using namespace fulmarworks;

namespace {

constexpr int backlog_jobs = 500;
constexpr int largest_gang = 256;
constexpr int fast_every = 4;
constexpr int largest_fleet = 17000;
constexpr double min_time_s = 0.2;

/** Returns a fleet of the given size, with or without a backlog and fast workers. Caches the newest
 * one, as its setup takes longer than a measurement. */
bench::busy_fleet& fleet_of(const benchmark::State& state) {
    const auto workers = static_cast<int>(state.range(0));
    const bool backlog = state.range(1) != 0;
    const bool uneven = state.range(2) != 0;
    static std::unique_ptr<bench::busy_fleet> fleet;
    static int size = 0;
    static bool has_backlog = false;
    static bool is_uneven = false;
    if (!fleet || size != workers || has_backlog != backlog || is_uneven != uneven) {
        fleet.reset();
        fleet = std::make_unique<bench::busy_fleet>(workers);
        if (uneven) {
            fleet->set_fast_workers(fast_every);
        }
        if (backlog) {
            fleet->add_backlog(backlog_jobs);
        }
        size = workers;
        has_backlog = backlog;
        is_uneven = uneven;
    }
    return *fleet;
}

std::string next_id(const char* kind) {
    static int next = 0;
    return kind + std::to_string(next++);
}

/** Reports the durations of single events; one iteration of a benchmark consists of several. */
void report_event_durations(benchmark::State& state, bench::busy_fleet& fleet) {
    const auto durations = fleet.take_durations();
    if (durations.empty()) {
        return;
    }
    const auto quantile = [&](double share) {
        return durations[static_cast<std::size_t>(share *
                                                  static_cast<double>(durations.size() - 1))];
    };
    state.counters["event_p50_us"] = quantile(0.5);
    state.counters["event_p99_us"] = quantile(0.99);
    state.counters["event_max_us"] = durations.back();
    state.counters["state_bytes_per_worker"] =
        static_cast<double>(fleet.state_bytes) / fleet.workers();
}

void place_and_end_urgent(benchmark::State& state) {
    auto& fleet = fleet_of(state);
    (void)fleet.take_durations();
    for (auto _ : state) {
        const std::string id = next_id("urgent-");
        for (const auto& start : fleet.submit_job(id, 0, 1, 1, false)) {
            fleet.end_run(start.where.id, start.task, start.run, scheduler::end_reason::done);
        }
        fleet.delete_job(id);
    }
    report_event_durations(state, fleet);
}

void place_gang_and_cancel(benchmark::State& state) {
    auto& fleet = fleet_of(state);
    const int members = std::min(largest_gang, fleet.workers() / 2);
    (void)fleet.take_durations();
    for (auto _ : state) {
        const std::string id = next_id("gang-");
        if (fleet.submit_job(id, 0, members, 1, true).empty()) {
            state.SkipWithError("the gang wasn't placed");
        }
        fleet.cancel_job(id);
        fleet.delete_job(id);
    }
    report_event_durations(state, fleet);
}

/** Places an urgent gang in one of the racks, of which all have room for it, but not on two fast
 * workers. */
void place_rack_gang_and_cancel(benchmark::State& state) {
    constexpr int members = 4;
    auto& fleet = fleet_of(state);
    (void)fleet.take_durations();
    for (auto _ : state) {
        const std::string id = next_id("rack-gang-");
        if (fleet.submit_job(id, 0, members, 1, true, true).empty()) {
            state.SkipWithError("the gang wasn't placed");
        }
        fleet.cancel_job(id);
        fleet.delete_job(id);
    }
    report_event_durations(state, fleet);
}

/** Submits a task that needs a whole worker while preemptible tasks occupy part of each worker. */
void preempt_for_urgent(benchmark::State& state) {
    auto& fleet = fleet_of(state);
    (void)fleet.take_durations();
    for (auto _ : state) {
        const std::string id = next_id("whole-");
        (void)fleet.submit_job(id, 0, 1, 8, false);
        fleet.cancel_job(id);
        fleet.delete_job(id);
    }
    report_event_durations(state, fleet);
}

/** Places a job after workers have repeated their reports. */
void place_after_reports(benchmark::State& state) {
    constexpr int reporting_workers = 50;
    auto& fleet = fleet_of(state);
    (void)fleet.take_durations();
    for (auto _ : state) {
        fleet.repeat_reports(reporting_workers);
        const std::string id = next_id("reported-");
        for (const auto& start : fleet.submit_job(id, 0, 1, 1, false)) {
            fleet.end_run(start.where.id, start.task, start.run, scheduler::end_reason::done);
        }
        fleet.delete_job(id);
    }
    report_event_durations(state, fleet);
}

void idle_tick(benchmark::State& state) {
    auto& fleet = fleet_of(state);
    (void)fleet.take_durations();
    for (auto _ : state) {
        fleet.advance_tick();
    }
    report_event_durations(state, fleet);
}

} // namespace

int main(int argc, char** argv) {
    benchmark::Initialize(&argc, argv);
    const std::pair<const char*, void (*)(benchmark::State&)> benchmarks[] = {
        {"place_and_end_urgent", place_and_end_urgent},
        {"place_gang_and_cancel", place_gang_and_cancel},
        {"place_rack_gang_and_cancel", place_rack_gang_and_cancel},
        {"preempt_for_urgent", preempt_for_urgent},
        {"place_after_reports", place_after_reports},
        {"idle_tick", idle_tick}};
    for (const int workers : {50, 500, 5000, largest_fleet}) {
        for (const int backlog : {0, 1}) {
            for (const int uneven : {0, 1}) {
                if (uneven != 0 && workers != largest_fleet) {
                    continue;
                }
                for (const auto& [name, run] : benchmarks) {
                    benchmark::RegisterBenchmark(name, run)
                        ->Args({workers, backlog, uneven})
                        ->ArgNames({"workers", "backlog", "uneven"})
                        ->Unit(benchmark::kMicrosecond)
                        ->MinTime(min_time_s);
                }
            }
        }
    }
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
