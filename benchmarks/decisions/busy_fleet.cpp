#include "busy_fleet.h"

#include "coordinator_fixture.h"

#include <algorithm>
#include <chrono>
#include <malloc.h>
#include <utility>

namespace fulmarworks::bench {

using namespace fulmarworks::scheduler;

namespace {

constexpr int workers_per_rack = 8;
constexpr int tasks_per_job = 10;
constexpr int tasks_per_worker = 3;
constexpr int polls_per_tick = 100;
constexpr time_ms estimate_ms = 3'600'000;
constexpr time_ms tick_ms = 20;
/** Three preemptible tasks leave two of a worker's eight accelerators free and too little memory
 * for a fourth. */
constexpr std::int64_t preemptible_accelerators = 2;
constexpr std::int64_t preemptible_memory_mb = 80'000;

} // namespace

busy_fleet::busy_fleet(int workers) : workers_(workers) {
    const std::size_t before = mallinfo2().uordblks;
    repeat_reports(workers);
    // One tick polls only part of a large fleet.
    for (int polled = 0; polled < workers; polled += polls_per_tick) {
        advance_tick();
    }
    // The coordinator plans nothing while a store batch is open, so a single plan places all
    // initial jobs.
    state_.batch_open = true;
    const int jobs = workers * tasks_per_worker / tasks_per_job;
    for (int i = 0; i < jobs; ++i) {
        send(job_submitted{make_job("long-" + std::to_string(i), 1, tasks_per_job,
                                    preemptible_accelerators, false)});
    }
    send(records_stored{});
    answer_pending_effects();
    (void)take_durations();
    state_bytes = mallinfo2().uordblks - before;
}

void busy_fleet::set_fast_workers(int every) {
    for (int i = 0; i < workers_; i += every) {
        const std::string id = "worker-" + std::to_string(i);
        state_.speeds.by_worker[id] = {10, 7, 4.9, 10, 10, "", 0, speed_class::fast};
        ++state_.speeds.fast_workers;
        state_.capacities.mark_stale(id);
    }
}

void busy_fleet::add_backlog(int jobs) {
    for (int i = 0; i < jobs; ++i) {
        send(job_submitted{make_job("waiting-" + std::to_string(i), 2, 2, 8, false)});
        answer_pending_effects();
    }
    (void)take_durations();
}

job_spec busy_fleet::make_job(const std::string& id, int priority, int tasks,
                              std::int64_t accelerators, bool gang) const {
    const std::int64_t memory_mb =
        accelerators == preemptible_accelerators ? preemptible_memory_mb : 16'384;
    job_spec spec = coordinator_fixture::make_job(id, static_cast<std::uint32_t>(tasks),
                                                  {4'000, memory_mb, accelerators}, priority);
    spec.account = "account-" + std::to_string(priority);
    spec.accepted_wall_ms = now_.wall_ms;
    spec.steps.front().estimate_ms = estimate_ms;
    spec.steps.front().gang = gang;
    return spec;
}

void busy_fleet::send(const event& e) {
    const auto start = std::chrono::steady_clock::now();
    reduce(state_, now_, e, pending_effects_);
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    durations_us_.push_back(elapsed.count());
}

void busy_fleet::answer_pending_effects() {
    while (!pending_effects_.empty()) {
        for (const auto& e : std::exchange(pending_effects_, {})) {
            if (std::holds_alternative<store_records>(e)) {
                send(records_stored{});
            } else if (const auto* start = std::get_if<send_start>(&e)) {
                runs_[start->where.id].push_back({start->task, start->run});
                start_orders_.push_back(*start);
                send(start_answered{start->where.id, start->task, start->run, true, {}});
            } else if (const auto* stop = std::get_if<send_stop>(&e)) {
                send(stop_answered{stop->where.id, stop->task, stop->run, true, {}});
                end_run(stop->where.id, stop->task, stop->run, end_reason::stopped);
            } else if (const auto* poll = std::get_if<send_poll>(&e)) {
                answer_poll(poll->where.id, {});
            }
        }
    }
}

void busy_fleet::answer_poll(const std::string& worker, std::vector<ended_run> ended) {
    worker_status status;
    status.started_wall_ms = 1;
    status.clock_ms = now_.monotonic_ms;
    // The percentage wraps around, so that no run is considered stalled.
    const auto percent = static_cast<int>(now_.monotonic_ms / milliseconds_per_second % 100);
    for (const auto& run : runs_[worker]) {
        status.active.push_back({run.task, run.run, "", percent});
    }
    status.ended = std::move(ended);
    send(poll_answered{worker, now_.monotonic_ms, std::move(status)});
}

std::vector<send_start> busy_fleet::submit_job(const std::string& id, int priority, int tasks,
                                               std::int64_t accelerators, bool gang,
                                               bool same_rack) {
    start_orders_.clear();
    job_spec spec = make_job(id, priority, tasks, accelerators, gang);
    spec.steps.front().same_rack = same_rack;
    send(job_submitted{std::move(spec)});
    answer_pending_effects();
    return std::exchange(start_orders_, {});
}

void busy_fleet::cancel_job(const std::string& id) {
    send(cancel_requested{id, 1});
    answer_pending_effects();
}

void busy_fleet::end_run(const std::string& worker, const task_id& task, std::uint32_t run,
                         end_reason reason) {
    std::erase_if(runs_[worker], [&](const auto& r) { return r.task == task && r.run == run; });
    answer_poll(worker, {{++last_end_sequence_[worker], task, run, reason, ""}});
    answer_pending_effects();
}

void busy_fleet::delete_job(const std::string& id) {
    send(submissions_deleted{{id}});
    answer_pending_effects();
}

void busy_fleet::repeat_reports(int workers) {
    for (int i = 0; i < workers; ++i) {
        workers_reported read;
        read.changes.emplace_back(worker_reported{coordinator_fixture::make_report(
            "worker-" + std::to_string(i), "rack-" + std::to_string(i / workers_per_rack))});
        read.confirmed_at_ms = now_.monotonic_ms;
        send(read);
    }
}

void busy_fleet::advance_tick() {
    now_.monotonic_ms += tick_ms;
    now_.wall_ms += tick_ms;
    send(scheduler::tick{});
    answer_pending_effects();
}

std::vector<double> busy_fleet::take_durations() {
    auto durations = std::exchange(durations_us_, {});
    std::sort(durations.begin(), durations.end());
    return durations;
}

} // namespace fulmarworks::bench
