#include "busy_fleet.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <memory>

using namespace fulmarworks;

namespace {

constexpr int backlog_jobs = 500;
constexpr int largest_gang = 256;
constexpr double min_time_s = 0.2;

/** Keeps one fleet at a time, as set-up takes longer than the measurement. */
bench::busy_fleet& fleet_of(int workers, bool backlog) {
    static std::unique_ptr<bench::busy_fleet> fleet;
    static int size = 0;
    static bool has_backlog = false;
    if (!fleet || size != workers || has_backlog != backlog) {
        fleet.reset();
        fleet = std::make_unique<bench::busy_fleet>(workers);
        if (backlog) {
            fleet->add_backlog(backlog_jobs);
        }
        size = workers;
        has_backlog = backlog;
    }
    return *fleet;
}

std::string next_id(const char* kind) {
    static int next = 0;
    return kind + std::to_string(next++);
}

/** Reports single events, of which a case consists of several. */
void report_events(benchmark::State& state, bench::busy_fleet& fleet) {
    const auto durations = fleet.take_durations();
    if (durations.empty()) {
        return;
    }
    const auto at = [&](double share) {
        return durations[static_cast<std::size_t>(share *
                                                  static_cast<double>(durations.size() - 1))];
    };
    state.counters["event_p50_us"] = at(0.5);
    state.counters["event_p99_us"] = at(0.99);
    state.counters["event_max_us"] = durations.back();
    state.counters["state_bytes_per_worker"] =
        static_cast<double>(fleet.state_bytes) / fleet.workers();
}

void place_and_end_urgent(benchmark::State& state) {
    auto& fleet = fleet_of(static_cast<int>(state.range(0)), state.range(1) != 0);
    (void)fleet.take_durations();
    for (auto _ : state) {
        const std::string id = next_id("urgent-");
        for (const auto& start : fleet.submit(id, 0, 1, 1, false)) {
            fleet.end(start.where.id, start.task, start.run, scheduler::end_reason::done);
        }
        fleet.forget(id);
    }
    report_events(state, fleet);
}

void place_gang_and_cancel(benchmark::State& state) {
    auto& fleet = fleet_of(static_cast<int>(state.range(0)), state.range(1) != 0);
    const int members = std::min(largest_gang, fleet.workers() / 2);
    (void)fleet.take_durations();
    for (auto _ : state) {
        const std::string id = next_id("gang-");
        if (fleet.submit(id, 0, members, 1, true).empty()) {
            state.SkipWithError("the gang wasn't placed");
        }
        fleet.cancel(id);
        fleet.forget(id);
    }
    report_events(state, fleet);
}

/** The whole worker is asked for, and every worker is in part taken by work that yields. */
void preempt_for_urgent(benchmark::State& state) {
    auto& fleet = fleet_of(static_cast<int>(state.range(0)), state.range(1) != 0);
    (void)fleet.take_durations();
    for (auto _ : state) {
        const std::string id = next_id("whole-");
        (void)fleet.submit(id, 0, 1, 8, false);
        fleet.cancel(id);
        fleet.forget(id);
    }
    report_events(state, fleet);
}

/** Workers repeat their reports between two decisions. */
void place_after_reports(benchmark::State& state) {
    constexpr int reporting = 50;
    auto& fleet = fleet_of(static_cast<int>(state.range(0)), state.range(1) != 0);
    (void)fleet.take_durations();
    for (auto _ : state) {
        fleet.repeat_reports(reporting);
        const std::string id = next_id("reported-");
        for (const auto& start : fleet.submit(id, 0, 1, 1, false)) {
            fleet.end(start.where.id, start.task, start.run, scheduler::end_reason::done);
        }
        fleet.forget(id);
    }
    report_events(state, fleet);
}

void idle_tick(benchmark::State& state) {
    auto& fleet = fleet_of(static_cast<int>(state.range(0)), state.range(1) != 0);
    (void)fleet.take_durations();
    for (auto _ : state) {
        fleet.tick();
    }
    report_events(state, fleet);
}

} // namespace

int main(int argc, char** argv) {
    benchmark::Initialize(&argc, argv);
    const std::pair<const char*, void (*)(benchmark::State&)> cases[] = {
        {"place_and_end_urgent", place_and_end_urgent},
        {"place_gang_and_cancel", place_gang_and_cancel},
        {"preempt_for_urgent", preempt_for_urgent},
        {"place_after_reports", place_after_reports},
        {"idle_tick", idle_tick}};
    for (const int workers : {50, 500, 5000, 17000}) {
        for (const int backlog : {0, 1}) {
            for (const auto& [name, run] : cases) {
                benchmark::RegisterBenchmark(name, run)
                    ->Args({workers, backlog})
                    ->ArgNames({"workers", "backlog"})
                    ->Unit(benchmark::kMicrosecond)
                    ->MinTime(min_time_s);
            }
        }
    }
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
