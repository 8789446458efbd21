#include "fake_worker.h"

#include "base/digest.h"

namespace fulmarworks {

namespace {

constexpr std::uint64_t max_inlined_bytes = 1024;

std::string make_result(const task_report& t, std::uint64_t size) {
    std::string text = "result of " + t.job + " attempt " + std::to_string(t.attempt) + "\n";
    for (std::size_t line = 0; text.size() < size; ++line) {
        text += "line " + std::to_string(line) + "\n";
    }
    return text;
}

bool is_active(const task_report& t) {
    return t.phase != task_phase::ended;
}

bool is_executing(const task_report& t) {
    return t.phase == task_phase::running || t.phase == task_phase::checkpointing;
}

task_program parse_program(const std::string& payload) {
    const auto parsed = parse_json(payload.empty() ? "{}" : payload);
    if (!parsed) {
        return {};
    }
    const auto program = decode_json<task_program>(parsed.value());
    return program ? program.value() : task_program{};
}

} // namespace

fake_worker::fake_worker(std::string host, std::uint64_t incarnation,
                         std::vector<history_entry>& history)
    : host_(std::move(host)), incarnation_(incarnation), history_(history) {}

void fake_worker::renew_lease(time_ms now, time_ms lease_ms) {
    lease_until_ = now + lease_ms;
}

order_result fake_worker::handle_order(const task_order& o, time_ms now) {
    if (o.worker_incarnation != incarnation_) {
        return order_result::stale_incarnation;
    }
    if (o.owner_epoch < owner_epoch_) {
        return order_result::stale_epoch;
    }
    owner_epoch_ = o.owner_epoch;
    renew_lease(now, o.lease_ms);
    task* known = find_attempt(o);
    switch (o.operation) {
    case task_operation::prepare: admit_task(o, false, now); break;
    case task_operation::start: admit_task(o, true, now); break;
    case task_operation::revoke: revoke_task(o, now); break;
    case task_operation::checkpoint:
        if (known != nullptr && known->report.phase == task_phase::running) {
            known->report.phase = task_phase::checkpointing;
            known->checkpoint_at = now + known->program.checkpoint_ms;
            ++version_;
        }
        break;
    case task_operation::stop:
        if (known != nullptr && is_active(known->report)) {
            const bool started = is_executing(known->report);
            end_task(*known, started ? task_outcome::stopped : task_outcome::not_started, "stopped",
                     now);
        }
        break;
    case task_operation::acknowledge:
        if (known != nullptr && !is_active(known->report)) {
            acknowledged_attempts_[{o.job, o.member}] = o.attempt;
            tasks_.erase({o.job, o.member});
            ++version_;
        }
        break;
    }
    return order_result::accepted;
}

fake_worker::task* fake_worker::find_attempt(const task_order& o) {
    const auto found = tasks_.find({o.job, o.member});
    const bool same = found != tasks_.end() && found->second.report.attempt == o.attempt;
    return same ? &found->second : nullptr;
}

void fake_worker::admit_task(const task_order& o, bool start, time_ms now) {
    const auto acknowledged = acknowledged_attempts_.find({o.job, o.member});
    if (acknowledged != acknowledged_attempts_.end() && acknowledged->second >= o.attempt) {
        return;
    }
    const auto found = tasks_.find({o.job, o.member});
    if (found != tasks_.end() && found->second.report.attempt > o.attempt) {
        return;
    }
    if (task* known = find_attempt(o)) {
        if (start && known->report.phase == task_phase::prepared) {
            start_task(*known, now);
        }
        return;
    }
    if (found != tasks_.end() && is_active(found->second.report)) {
        end_task(found->second, task_outcome::stopped, "replaced by a later attempt", now);
    }
    add_task(o, start, now);
}

void fake_worker::add_task(const task_order& o, bool start, time_ms now) {
    const bool fits = is_block_free(o.where) && !leaving_;
    task& t = tasks_[{o.job, o.member}];
    t = {};
    t.report.job = o.job;
    t.report.member = o.member;
    t.report.attempt = o.attempt;
    t.where = o.where;
    t.progress_at_start = o.progress_ms;
    t.program = parse_program(o.payload);
    ++version_;
    if (!fits) {
        end_task(t, task_outcome::not_started, leaving_ ? "leaving" : "accelerators in use", now);
    } else if (start) {
        start_task(t, now);
    }
}

void fake_worker::revoke_task(const task_order& o, time_ms now) {
    admit_task(o, false, now);
    task* known = find_attempt(o);
    if (known != nullptr && known->report.phase == task_phase::prepared) {
        end_task(*known, task_outcome::not_started, "revoked", now);
    }
}

void fake_worker::start_task(task& t, time_ms now) {
    t.report.phase = task_phase::running;
    t.report.started_at = now;
    t.started_at = now;
    record_history(t.report, "start", now);
    ++version_;
    if (failing_ || t.program.fail) {
        end_task(t, task_outcome::failed,
                 failing_ ? "injected host failure" : "failure requested by payload", now);
    }
}

void fake_worker::end_task(task& t, task_outcome outcome, std::string_view error, time_ms now) {
    if (is_executing(t.report)) {
        t.report.run_ms = now - t.started_at;
    }
    t.report.phase = task_phase::ended;
    t.report.outcome = outcome;
    t.report.error = std::string(error);
    t.report.progress_ms = t.progress_at_start + t.report.run_ms;
    if (outcome == task_outcome::done && t.report.member == 0) {
        std::string text = make_result(t.report, t.program.result_bytes);
        t.report.result_digest = digest(text);
        t.report.result_size = text.size();
        if (text.size() <= max_inlined_bytes) {
            t.report.result_inlined = text;
        }
        results_[{t.report.job, t.report.attempt}] = std::move(text);
    }
    record_history(t.report, "end", now);
    ++version_;
}

void fake_worker::advance(time_ms now) {
    for (auto& [id, t] : tasks_) {
        if (!is_active(t.report)) {
            continue;
        }
        const bool lease_expired = lease_until_ > 0 && now > lease_until_;
        const bool started = is_executing(t.report);
        const time_ms progress_ms = started ? now - t.started_at + t.progress_at_start : 0;
        if (lease_expired) {
            end_task(t, started ? task_outcome::stopped : task_outcome::not_started,
                     "lease expired", now);
        } else if (t.report.phase == task_phase::checkpointing && now >= t.checkpoint_at) {
            end_task(t, task_outcome::checkpointed, "", now);
        } else if (t.report.phase == task_phase::running && progress_ms >= t.program.run_ms) {
            end_task(t, task_outcome::done, "", now);
        }
    }
}

void fake_worker::restart(std::uint64_t incarnation, time_ms now) {
    for (auto& [id, t] : tasks_) {
        if (is_active(t.report)) {
            record_history(t.report, "killed", now);
        }
    }
    tasks_.clear();
    acknowledged_attempts_.clear();
    results_.clear();
    owner_epoch_ = 0;
    incarnation_ = incarnation;
    version_ = 1;
}

void fake_worker::set_leaving(bool leaving) {
    leaving_ = leaving;
    ++version_;
}

worker_report fake_worker::report() const {
    worker_report r = {host_, incarnation_, version_, leaving_, owner_epoch_, {}};
    for (const auto& [id, t] : tasks_) {
        r.tasks.push_back(t.report);
    }
    return r;
}

const std::string* fake_worker::find_result(const std::string& job, int attempt) const {
    const auto found = results_.find({job, attempt});
    return found == results_.end() ? nullptr : &found->second;
}

bool fake_worker::is_block_free(const block& b) const {
    for (const auto& [id, t] : tasks_) {
        if (is_active(t.report) && (mask_of(t.where) & mask_of(b)) != 0) {
            return false;
        }
    }
    return true;
}

void fake_worker::record_history(const task_report& t, const std::string& what, time_ms now) {
    history_.push_back(
        {host_, t.job, t.member, t.attempt, what, std::string(to_string(t.outcome)), now});
}

} // namespace fulmarworks
