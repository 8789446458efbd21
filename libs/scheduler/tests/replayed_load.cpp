#include "replayed_load.h"

#include "coordinator_fixture.h"

#include <algorithm>
#include <utility>

namespace fulmarworks::scheduler {

namespace {

constexpr time_ms step_ms = 5;
constexpr time_ms tick_interval_ms = 25;
constexpr int rack_size = 8;

worker_report report_of(int number) {
    return coordinator_fixture::make_report("w" + std::to_string(number),
                                            "r" + std::to_string(number / rack_size));
}

} // namespace

replayed_load::replayed_load(int workers, const settings& limits, const replay_times& times)
    : times_(times), limits_(limits) {
    state_.limits = limits;
    for (int i = 0; i < workers; ++i) {
        const auto report = report_of(i);
        workers_[report.incarnation.id];
        send(worker_reported{report});
    }
    run_for(200);
}

void replayed_load::send(const event& e) {
    if (const auto* job = std::get_if<job_submitted>(&e)) {
        submitted_[job->spec.id] = job->spec;
        submitted_at_ms_[job->spec.id] = now_.monotonic_ms;
    }
    effects out;
    reduce(state_, now_, e, out);
    for (auto& call : out) {
        const bool to_store = std::holds_alternative<store_records>(call);
        const time_ms takes = to_store ? times_.store_ms : times_.call_ms;
        calls_.push_back({now_.monotonic_ms + takes, token_, std::move(call)});
    }
}

void replayed_load::run_for(time_ms duration_ms) {
    const time_ms until = now_.monotonic_ms + duration_ms;
    while (now_.monotonic_ms < until) {
        now_.monotonic_ms += step_ms;
        now_.wall_ms += step_ms;
        end_runs();
        auto due = std::exchange(calls_, {});
        for (auto& call : due) {
            if (call.due_ms > now_.monotonic_ms) {
                calls_.push_back(std::move(call));
            } else if (call.token == token_) {
                carry_out(call);
            }
        }
        if (now_.monotonic_ms % tick_interval_ms == 0) {
            send(tick{});
        }
    }
}

void replayed_load::carry_out(const timed_call& call) {
    if (const auto* batch = std::get_if<store_records>(&call.call)) {
        for (const auto& record : batch->records) {
            stored_[record.job] = record.value;
        }
        send(records_stored{});
    } else if (const auto* start = std::get_if<send_start>(&call.call)) {
        begin(*start);
    } else if (const auto* stopped = std::get_if<send_stop>(&call.call)) {
        stop(*stopped);
    } else if (const auto* poll = std::get_if<send_poll>(&call.call)) {
        answer(*poll);
    }
}

void replayed_load::begin(const send_start& order) {
    virtual_worker& w = workers_.at(order.where.id);
    const auto& steps = submitted_.at(order.task.job).steps;
    w.runs[order.task] = {order.run, now_.monotonic_ms + steps[order.task.step].estimate_ms,
                          end_reason::done};
    began_at_ms_.try_emplace(order.task, now_.monotonic_ms);
    send(start_answered{order.where.id, order.task, order.run, true, {}});
}

void replayed_load::stop(const send_stop& order) {
    virtual_worker& w = workers_.at(order.where.id);
    const auto found = w.runs.find(order.task);
    if (found != w.runs.end() && found->second.reason != end_reason::stopped) {
        found->second.reason = end_reason::stopped;
        found->second.ends_at_ms =
            std::min(found->second.ends_at_ms, now_.monotonic_ms + times_.stop_ms);
        ++stops_[order.task.job];
    }
    send(stop_answered{order.where.id, order.task, order.run, true, {}});
}

void replayed_load::answer(const send_poll& order) {
    virtual_worker& w = workers_.at(order.where.id);
    std::erase_if(w.ended, [&](const auto& e) { return e.sequence <= order.stored_sequence; });
    if (w.ended.empty() && order.wait_ms > 0) {
        // Waits for news, as a worker does.
        send_poll later = order;
        later.wait_ms -= step_ms;
        calls_.push_back({now_.monotonic_ms + step_ms, token_, later});
        return;
    }
    worker_status status;
    status.started_wall_ms = 1;
    status.clock_ms = now_.monotonic_ms;
    const int percent = static_cast<int>(now_.monotonic_ms / 1000 % 100);
    for (const auto& [task, r] : w.runs) {
        status.active.push_back({task, r.number, "", percent});
    }
    status.ended = w.ended;
    send(poll_answered{order.where.id, now_.monotonic_ms, std::move(status)});
}

void replayed_load::end_runs() {
    for (auto& [id, w] : workers_) {
        for (auto it = w.runs.begin(); it != w.runs.end();) {
            if (it->second.ends_at_ms > now_.monotonic_ms) {
                ++it;
                continue;
            }
            w.ended.push_back({w.next_end++, it->first, it->second.number, it->second.reason, ""});
            it = w.runs.erase(it);
        }
    }
}

void replayed_load::change_leader() {
    ++token_;
    std::vector<stored_job> jobs;
    for (const auto& [id, spec] : submitted_) {
        jobs.push_back({spec, stored_[id]});
    }
    const auto accounts = state_.account_guarantees;
    state_ = recover(limits_, std::move(jobs), now_, predecessor::ended);
    for (std::size_t i = 0; i < workers_.size(); ++i) {
        send(worker_reported{report_of(static_cast<int>(i))});
    }
    send(guarantees_changed{accounts});
}

time_ms replayed_load::last_start_after_ms(const std::string& job) const {
    time_ms latest = -1;
    const job_spec& spec = submitted_.at(job);
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        for (std::uint32_t i = 0; i < spec.steps[step].task_count; ++i) {
            const auto began = began_at_ms_.find({job, 0, step, i});
            if (began == began_at_ms_.end()) {
                return -1;
            }
            latest = std::max(latest, began->second - submitted_at_ms_.at(job));
        }
    }
    return latest;
}

int replayed_load::stops_of(const std::string& job) const {
    const auto found = stops_.find(job);
    return found == stops_.end() ? 0 : found->second;
}

} // namespace fulmarworks::scheduler
