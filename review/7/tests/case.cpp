// Two services: one gets urgent jobs now and then; the executors of the other are one rack. There a
// task that lasts loses its executor.

#include "deployment.h"

#include <cstdio>

namespace {

using namespace fulmarworks;

/** Two racks of the first service and one of the second. */
constexpr int executor_count = 24;
constexpr int first_service_executors = 16;
constexpr time_ms urgent_interval_ms = 2000;
constexpr time_ms down_ms = 4500;
/** From when a task that lasts has to be at work again: 6 s after its last run, 4 s of calm and the
 * 3 s for which it may be missing. */
constexpr time_ms restart_bound_ms = 13'000;
constexpr time_ms observed_ms = 45'000;

std::string job_id(int number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", 0xc000 + number);
    return text;
}

} // namespace

int main(int argc, char** argv) {
    using namespace fulmarworks::review;
    const case_options options = parse_options(argc, argv);
    deployment d(options, 3, executor_count, 8);
    for (std::size_t i = first_service_executors; i < d.executors.size(); ++i) {
        d.executors[i]->set_service("pool-b");
    }
    if (!d.start("pool-b")) {
        d.record.write("the deployment didn't start");
        return 2;
    }
    d.watch_states();
    task_shape service;
    service.need = {8000, 16000, 1};
    service.lasts = true;
    service.run_ms = 600'000;
    const std::string job = job_id(0);
    const std::string task = job + ".0.0.0";
    d.submit(job, "/bulk/", job_body({service}));
    if (!d.run_until([&] { return d.is_running(task); }, 10'000)) {
        d.record.write("the task that lasts didn't start");
        return 2;
    }
    // Both racks of the first service are in use, as usual.
    task_shape other = service;
    other.need = {8000, 16000, 2};
    other.count = 6;
    for (int i = 0; i < 2; ++i) {
        other.data_rack = "r1-" + std::to_string(i);
        d.submit(job_id(1000 + i), "/normal/", job_body({other}));
    }
    const auto others_run = [&] {
        return d.is_running(job_id(1000) + ".0.0.5") && d.is_running(job_id(1001) + ".0.0.5");
    };
    if (!d.run_until(others_run, 10'000)) {
        d.record.write("the tasks of the first service didn't start");
        return 2;
    }
    task_shape urgent;
    urgent.need = {8000, 16000, 1};
    urgent.run_ms = 1000;
    int number = 0;
    d.loop.every(urgent_interval_ms,
                 [&] { d.submit(job_id(++number), "/urgent/", job_body({urgent})); });
    d.run_for(6000);
    const time_ms crashed_at = d.record.elapsed();
    if (options.trouble) {
        for (auto& e : d.executors) {
            if (e->active_runs() > 0 && d.is_running(task) &&
                e->id() == d.world.runs.front().executor) {
                e->crash();
                d.loop.after(down_ms, [&e] { e->start_life(); });
                break;
            }
        }
    }
    time_ms longest_gap = 0;
    time_ms running_at = d.record.elapsed();
    while (d.record.elapsed() < crashed_at + observed_ms) {
        d.run_for(100);
        if (d.is_running(task)) {
            running_at = d.record.elapsed();
        }
        longest_gap = std::max(longest_gap, d.record.elapsed() - running_at);
    }
    std::size_t free_executors = 0;
    for (std::size_t i = first_service_executors; i < d.executors.size(); ++i) {
        free_executors += d.executors[i]->up() && d.executors[i]->active_runs() == 0 ? 1 : 0;
    }
    int urgent_completed = 0;
    for (const auto& [id, j] : d.jobs) {
        urgent_completed += id != job && j.state == "completed" ? 1 : 0;
    }
    d.record.write("longest time without a run of " + task + ": " + std::to_string(longest_gap) +
                   " ms; idle executors of its service: " + std::to_string(free_executors) +
                   "; urgent jobs completed: " + std::to_string(urgent_completed));
    if (urgent_completed == 0) {
        return 2;
    }
    const bool broken = longest_gap > restart_bound_ms;
    d.record.write(broken ? "VIOLATION LOST: the task that lasts isn't restarted" : "rule held");
    return broken ? 1 : 0;
}
