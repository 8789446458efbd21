#include "simulated_cluster.h"

#include "coordinator_fixture.h"

#include <algorithm>
#include <utility>

namespace fulmarworks::scheduler {

namespace {

constexpr time_ms clock_step_ms = 5;
constexpr time_ms tick_interval_ms = 25;
constexpr int rack_size = 8;
/** Time until a crashed worker is back. */
constexpr time_ms crash_duration_ms = 3500;
/** Time until the registry deletes the entry of a silent worker. */
constexpr time_ms registry_silence_ms = 4500;
/** Time from the start of a run that fails to its end. */
constexpr time_ms failure_after_ms = 300;

worker_report make_worker_report(int number) {
    auto report = coordinator_fixture::make_report("w" + std::to_string(number),
                                                   "r" + std::to_string(number / rack_size));
    report.address = "10.0.0.1:" + std::to_string(1000 + number);
    return report;
}

} // namespace

simulated_cluster::simulated_cluster(int workers, const settings& limits,
                                     const simulated_latencies& latencies)
    : latencies_(latencies), limits_(limits) {
    state_.limits = limits;
    for (int i = 0; i < workers; ++i) {
        add_worker(make_worker_report(i));
    }
    run_for(200);
}

void simulated_cluster::add_worker(const worker_report& report) {
    workers_[report.incarnation.id].report = report;
    send(worker_reported{report});
}

void simulated_cluster::send(const event& e) {
    if (const auto* job = std::get_if<job_submitted>(&e)) {
        job_specs_[job->spec.id] = job->spec;
        submitted_at_ms_[job->spec.id] = now_.monotonic_ms;
    }
    effects out;
    state_.registry_confirmed_at_ms = now_.monotonic_ms;
    reduce(state_, now_, e, out);
    for (auto& call : out) {
        const bool is_store = std::holds_alternative<store_records>(call);
        const time_ms latency_ms =
            is_store ? latencies_.store_latency_ms : latencies_.call_round_trip_ms;
        calls_.push_back({now_.monotonic_ms + latency_ms, leader_epoch_, std::move(call)});
    }
}

void simulated_cluster::run_for(time_ms duration_ms) {
    const time_ms until = now_.monotonic_ms + duration_ms;
    while (now_.monotonic_ms < until) {
        now_.monotonic_ms += clock_step_ms;
        now_.wall_ms += clock_step_ms;
        end_due_runs();
        advance_crashes();
        auto due = std::exchange(calls_, {});
        for (auto& call : due) {
            if (call.due_ms > now_.monotonic_ms) {
                calls_.push_back(std::move(call));
            } else if (call.leader_epoch == leader_epoch_) {
                execute_call(call);
            }
        }
        if (now_.monotonic_ms % tick_interval_ms == 0) {
            send(tick{});
        }
    }
}

void simulated_cluster::execute_call(const timed_call& call) {
    if (const auto* batch = std::get_if<store_records>(&call.call)) {
        for (const auto& record : batch->records) {
            stored_progress_[record.job] = record.value;
        }
        send(records_stored{});
    } else if (const auto* start = std::get_if<send_start>(&call.call)) {
        start_run(*start);
    } else if (const auto* stop = std::get_if<send_stop>(&call.call)) {
        stop_run(*stop);
    } else if (const auto* poll = std::get_if<send_poll>(&call.call)) {
        answer_poll(*poll);
    }
}

void simulated_cluster::start_run(const send_start& order) {
    simulated_worker& w = workers_.at(order.where.id);
    if (const auto failure = failure_of(w)) {
        send(start_answered{order.where.id, order.task, order.run, false, *failure});
        return;
    }
    if (w.runs.contains(order.task) && w.runs.at(order.task).number == order.run) {
        send(start_answered{order.where.id, order.task, order.run, true, {}});
        return;
    }
    // Orders that were under way when the capacity changed are allowed.
    const bool change_known =
        now_.monotonic_ms - w.capacity_changed_at_ms > latencies_.call_round_trip_ms;
    overbooking_starts_ += change_known && overbooks(w, order.task) ? 1 : 0;
    ++start_counts_[order.task];
    const auto& steps = job_specs_.at(order.task.job).steps;
    const auto crash_delay = crash_delays_ms_.find(order.task);
    const time_ms estimate_ms = steps[order.task.step].estimate_ms;
    const auto run_time =
        run_times_ ? run_times_(order) : simulated_run_time{estimate_ms, estimate_ms};
    w.runs[order.task] = {
        order.run,
        now_.monotonic_ms + run_time.duration_ms,
        end_reason::done,
        crash_delay == crash_delays_ms_.end() ? 0 : now_.monotonic_ms + crash_delay->second,
        now_.monotonic_ms,
        run_time.usual_ms};
    if (w.failing || failing_tasks_.contains(order.task)) {
        simulated_run& run = w.runs[order.task];
        run.ends_at_ms = now_.monotonic_ms + failure_after_ms;
        run.reason = end_reason::failed;
    }
    first_start_ms_.try_emplace(order.task, now_.monotonic_ms);
    w.lease_ends_at_ms = std::max(w.lease_ends_at_ms, order.deadline_at_worker_ms);
    if (crash_delay != crash_delays_ms_.end() && crash_delay->second == 0) {
        crash(w);
        send(
            start_answered{order.where.id, order.task, order.run, false, order_failure::no_answer});
        return;
    }
    send(start_answered{order.where.id, order.task, order.run, true, {}});
}

bool simulated_cluster::overbooks(const simulated_worker& w, const task_id& task) const {
    const auto need_of = [&](const task_id& id) {
        return job_specs_.at(id.job).steps[id.step].per_task;
    };
    resources used = need_of(task);
    for (const auto& [id, run] : w.runs) {
        used += need_of(id);
    }
    return !fits(used, w.report.capacity);
}

void simulated_cluster::change_capacity(const std::string& id, const resources& capacity) {
    simulated_worker& w = workers_.at(id);
    w.report.capacity = capacity;
    w.capacity_changed_at_ms = now_.monotonic_ms;
    send(worker_reported{w.report});
}

void simulated_cluster::stop_run(const send_stop& order) {
    simulated_worker& w = workers_.at(order.where.id);
    if (const auto failure = failure_of(w)) {
        send(stop_answered{order.where.id, order.task, order.run, false, *failure});
        return;
    }
    const auto found = w.runs.find(order.task);
    if (found != w.runs.end() && found->second.reason != end_reason::stopped) {
        found->second.reason = end_reason::stopped;
        found->second.ends_at_ms =
            std::min(found->second.ends_at_ms, now_.monotonic_ms + latencies_.stop_duration_ms);
        ++stop_counts_[order.task.job];
    }
    send(stop_answered{order.where.id, order.task, order.run, true, {}});
}

void simulated_cluster::answer_poll(const send_poll& order) {
    simulated_worker& w = workers_.at(order.where.id);
    if (const auto failure = failure_of(w)) {
        send(poll_failed{order.where.id, *failure});
        return;
    }
    std::erase_if(w.ended, [&](const auto& e) { return e.sequence <= order.stored_sequence; });
    w.lease_ends_at_ms = std::max(w.lease_ends_at_ms, order.lease_ends_at_worker_ms);
    if (w.ended.empty() && order.wait_ms > 0) {
        // Long poll: the worker delays its answer until a run ends or the wait time is over.
        send_poll deferred = order;
        deferred.wait_ms -= clock_step_ms;
        calls_.push_back({now_.monotonic_ms + clock_step_ms, leader_epoch_, deferred});
        return;
    }
    worker_status status;
    status.started_wall_ms = w.report.incarnation.started_wall_ms;
    status.clock_ms = now_.monotonic_ms;
    for (const auto& [task, r] : w.runs) {
        const time_ms percent =
            run_times_
                ? std::min<time_ms>(100, (now_.monotonic_ms - r.started_at_ms) * 100 / r.usual_ms)
                : now_.monotonic_ms / 1000 % 100;
        status.active.push_back({task, r.number, "", static_cast<int>(percent)});
    }
    status.ended = w.ended;
    send(poll_answered{order.where.id, now_.monotonic_ms, std::move(status)});
}

void simulated_cluster::end_due_runs() {
    for (auto& [id, w] : workers_) {
        for (auto it = w.runs.begin(); it != w.runs.end();) {
            const bool lapsed = w.lease_ends_at_ms <= now_.monotonic_ms;
            if (!lapsed && it->second.ends_at_ms > now_.monotonic_ms) {
                ++it;
                continue;
            }
            const end_reason reason = lapsed ? end_reason::lease_expired : it->second.reason;
            w.ended.push_back({w.next_end_sequence++, it->first, it->second.number, reason, ""});
            it = w.runs.erase(it);
        }
    }
}

std::optional<order_failure> simulated_cluster::failure_of(const simulated_worker& w) const {
    if (w.replaced) {
        return order_failure::other_incarnation;
    }
    const bool silent = w.crashed || now_.monotonic_ms < w.cut_until_ms;
    return silent ? std::optional(order_failure::no_answer) : std::nullopt;
}

void simulated_cluster::add_label(const std::string& id, const std::string& label) {
    simulated_worker& w = workers_.at(id);
    w.report.labels.push_back(label);
    send(worker_reported{w.report});
}

void simulated_cluster::fail_run(const task_id& task) {
    simulated_run& run = workers_.at(worker_of(task)).runs.at(task);
    run.ends_at_ms = now_.monotonic_ms;
    run.reason = end_reason::failed;
}

void simulated_cluster::cut_worker(const std::string& id, time_ms for_ms) {
    workers_.at(id).cut_until_ms = now_.monotonic_ms + for_ms;
}

void simulated_cluster::crash_worker(const std::string& id) {
    crash(workers_.at(id));
}

void simulated_cluster::crash(simulated_worker& w) {
    ++crash_count_;
    w.crashed = true;
    w.crashed_at_ms = now_.monotonic_ms;
    w.runs.clear();
    w.ended.clear();
    w.lease_ends_at_ms = 0;
    w.next_end_sequence = 1;
}

void simulated_cluster::bring_back(simulated_worker& w) {
    worker_report report = w.report;
    report.incarnation.started_wall_ms = now_.wall_ms;
    if (crash_outcome_ == crash_outcome::restarted) {
        w.report = report;
        w.crashed = false;
        w.listed = true;
        send(worker_reported{report});
        return;
    }
    w.replaced = true;
    report.incarnation.id += "+";
    add_worker(report);
}

void simulated_cluster::advance_crashes() {
    std::vector<std::string> crashed;
    for (auto& [id, w] : workers_) {
        const bool due = std::any_of(w.runs.begin(), w.runs.end(), [&](const auto& entry) {
            const time_ms at = entry.second.crashes_at_ms;
            return at != 0 && at <= now_.monotonic_ms;
        });
        if (due) {
            crash(w);
        }
        if (w.crashed) {
            crashed.push_back(id);
        }
    }
    for (const auto& id : crashed) {
        simulated_worker& w = workers_.at(id);
        const time_ms down_for = now_.monotonic_ms - w.crashed_at_ms;
        if (w.listed && down_for >= registry_silence_ms) {
            w.listed = false;
            send(worker_unlisted{id, true});
        }
        if (!w.replaced && down_for >= crash_duration_ms && crash_outcome_ != crash_outcome::lost) {
            bring_back(w);
        }
    }
}

void simulated_cluster::set_pool(const std::string& id, const std::string& pool) {
    worker_report& report = workers_.at(id).report;
    report.pool = pool;
    send(worker_reported{report});
}

void simulated_cluster::change_leader() {
    ++leader_epoch_;
    std::vector<stored_job> jobs;
    for (const auto& [id, spec] : job_specs_) {
        jobs.push_back({spec, stored_progress_[id]});
    }
    const auto accounts = state_.account_guarantees;
    state_ = recover(limits_, std::move(jobs), now_, 0);
    for (const auto& [id, w] : workers_) {
        if (w.listed) {
            send(worker_reported{w.report});
        }
    }
    send(guarantees_changed{accounts});
}

time_ms simulated_cluster::last_start_delay_ms(const std::string& job) const {
    time_ms latest = -1;
    const job_spec& spec = job_specs_.at(job);
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        for (std::uint32_t i = 0; i < spec.steps[step].task_count; ++i) {
            const auto started = first_start_ms_.find({job, 0, step, i});
            if (started == first_start_ms_.end()) {
                return -1;
            }
            latest = std::max(latest, started->second - submitted_at_ms_.at(job));
        }
    }
    return latest;
}

int simulated_cluster::start_count(const task_id& task) const {
    const auto found = start_counts_.find(task);
    return found == start_counts_.end() ? 0 : found->second;
}

std::string simulated_cluster::worker_of(const task_id& task) const {
    for (const auto& [id, w] : workers_) {
        if (!w.crashed && w.runs.contains(task)) {
            return id;
        }
    }
    return "";
}

int simulated_cluster::stop_count(const std::string& job) const {
    const auto found = stop_counts_.find(job);
    return found == stop_counts_.end() ? 0 : found->second;
}

} // namespace fulmarworks::scheduler
