#include "worker_standin.h"

#include "base/digest.h"

namespace fulmarworks {

namespace {

constexpr time_ms check_interval_ms = 10;
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

} // namespace

worker_standin::worker_standin(event_loop& loop, std::string host,
                               std::vector<history_entry>& history)
    : loop_(loop), host_(std::move(host)), history_(history),
      incarnation_(static_cast<std::uint64_t>(wall_now())) {}

result<bool> worker_standin::listen(const std::string& address) {
    auto built = http_server::Builder()
                     .address(address)
                     .on_request([this](const auto& r, auto token) { handle(r, token); })
                     .on_gone([this](auto token) { polls_.erase(token); })
                     .build(loop_);
    if (!built) {
        return built.error();
    }
    server_ = std::move(built.value());
    loop_.every(check_interval_ms, [this] { check_time(); });
    return true;
}

void worker_standin::restart() {
    for (auto& [id, t] : tasks_) {
        if (is_active(t.report)) {
            note(t.report, "killed");
        }
    }
    tasks_.clear();
    closed_.clear();
    results_.clear();
    owner_epoch_ = 0;
    incarnation_ = std::max(incarnation_ + 1, static_cast<std::uint64_t>(wall_now()));
    version_ = 1;
    changed();
}

void worker_standin::set_leaving(bool leaving) {
    leaving_ = leaving;
    changed();
}

void worker_standin::set_failing(bool failing) {
    failing_ = failing;
}

void worker_standin::set_silent(bool silent) {
    silent_ = silent;
}

void worker_standin::set_on(bool on) {
    if (on && !on_) {
        restart();
    }
    on_ = on;
}

void worker_standin::handle(const http_request& r, std::uint64_t token) {
    if (silent_ || !on_) {
        return;
    }
    if (r.path == "/v1/worker") {
        poll(r, token);
    } else if (r.path == "/v1/orders") {
        order(r, token);
    } else if (r.path == "/v1/results") {
        send_result(r, token);
    } else {
        server_->respond(token, {404, "{}"});
    }
}

void worker_standin::poll(const http_request& r, std::uint64_t token) {
    const time_ms now = monotonic_now();
    lease_until_ = now + query_number(r.query, "lease_ms", 10000);
    const auto seen = static_cast<std::uint64_t>(query_number(r.query, "seen_version", 0));
    const time_ms wait = query_number(r.query, "wait_ms", 0);
    if (seen != version_ || wait == 0) {
        respond_report(token);
    } else {
        polls_[token] = {seen, now + wait};
    }
}

void worker_standin::order(const http_request& r, std::uint64_t token) {
    const auto parsed = parse_json(r.body);
    const auto decoded =
        parsed ? decode_json<task_order>(parsed.value()) : result<task_order>(parsed.error());
    if (!decoded) {
        server_->respond(token, {400, "{}"});
        return;
    }
    const task_order& o = decoded.value();
    if (o.worker_incarnation != incarnation_ || o.owner_epoch < owner_epoch_) {
        const char* reason =
            o.worker_incarnation != incarnation_ ? "stale_incarnation" : "stale_epoch";
        server_->respond(token, {409, json{{"reason", reason}}.dump()});
        return;
    }
    owner_epoch_ = o.owner_epoch;
    lease_until_ = monotonic_now() + o.lease_ms;
    carry_out(o);
    respond_report(token);
}

void worker_standin::carry_out(const task_order& o) {
    const task_id id = {o.job, o.member};
    const auto found = tasks_.find(id);
    task* known = found != tasks_.end() && found->second.report.attempt == o.attempt
                      ? &found->second
                      : nullptr;
    switch (o.operation) {
    case task_operation::prepare: admit(o, false); return;
    case task_operation::start: admit(o, true); return;
    case task_operation::revoke:
        if (known == nullptr) {
            admit(o, false);
            known = &tasks_[id];
        }
        if (known->report.attempt == o.attempt && known->report.phase == task_phase::prepared) {
            end_task(*known, task_outcome::not_started, "revoked");
        }
        return;
    case task_operation::checkpoint:
        if (known != nullptr && known->report.phase == task_phase::running) {
            known->report.phase = task_phase::checkpointing;
            changed();
            loop_.after(known->program.checkpoint_ms,
                        [this, id, attempt = o.attempt] { finish_checkpoint(id, attempt); });
        }
        return;
    case task_operation::stop:
        if (known != nullptr && is_active(known->report)) {
            end_task(*known, task_outcome::stopped, "stopped");
        }
        return;
    case task_operation::acknowledge:
        if (known != nullptr && !is_active(known->report)) {
            closed_[id] = o.attempt;
            tasks_.erase(id);
            changed();
        }
        return;
    }
}

void worker_standin::admit(const task_order& o, bool start) {
    const task_id id = {o.job, o.member};
    const auto closed = closed_.find(id);
    if (closed != closed_.end() && closed->second >= o.attempt) {
        return;
    }
    const auto found = tasks_.find(id);
    if (found != tasks_.end() && found->second.report.attempt >= o.attempt) {
        task& known = found->second;
        if (known.report.attempt == o.attempt && start &&
            known.report.phase == task_phase::prepared) {
            start_task(known);
        }
        return;
    }
    const bool older_active = found != tasks_.end() && is_active(found->second.report);
    if (older_active) {
        end_task(found->second, task_outcome::stopped, "replaced by a later attempt");
    }
    const bool fits = is_free(o.where) && !leaving_;
    task& t = tasks_[id];
    t = {};
    t.report.job = o.job;
    t.report.member = o.member;
    t.report.attempt = o.attempt;
    t.where = o.where;
    t.progress_at_start = o.progress_ms;
    const auto parsed = parse_json(o.payload.empty() ? "{}" : o.payload);
    if (parsed) {
        const auto program = decode_json<task_program>(parsed.value());
        t.program = program ? program.value() : task_program{};
    }
    changed();
    if (!fits) {
        end_task(t, task_outcome::not_started, leaving_ ? "leaving" : "accelerators in use");
    } else if (start) {
        start_task(t);
    }
}

void worker_standin::start_task(task& t) {
    t.report.phase = task_phase::running;
    t.report.started_at = wall_now();
    t.started_monotonic = monotonic_now();
    note(t.report, "start");
    changed();
    if (failing_ || t.program.fail) {
        end_task(t, task_outcome::failed, failing_ ? "host is broken" : "job is broken");
    }
}

void worker_standin::end_task(task& t, task_outcome outcome, const std::string& error) {
    if (t.report.phase == task_phase::running || t.report.phase == task_phase::checkpointing) {
        t.report.run_ms = monotonic_now() - t.started_monotonic;
    }
    t.report.phase = task_phase::ended;
    t.report.outcome = outcome;
    t.report.error = error;
    t.report.progress_ms = t.progress_at_start + t.report.run_ms;
    if (outcome == task_outcome::done && t.report.member == 0) {
        const std::string text = make_result(t.report, t.program.result_bytes);
        t.report.result_digest = digest(text);
        t.report.result_size = text.size();
        if (text.size() <= max_inlined_bytes) {
            t.report.result_inlined = text;
        }
        results_[{t.report.job, t.report.attempt}] = text;
    }
    note(t.report, "end");
    changed();
}

void worker_standin::finish_checkpoint(const task_id& id, int attempt) {
    const auto found = tasks_.find(id);
    if (found != tasks_.end() && found->second.report.attempt == attempt &&
        found->second.report.phase == task_phase::checkpointing) {
        end_task(found->second, task_outcome::checkpointed, "");
    }
}

void worker_standin::send_result(const http_request& r, std::uint64_t token) {
    const auto attempt = static_cast<int>(query_number(r.query, "attempt", 0));
    const auto found = results_.find({query_value(r.query, "job"), attempt});
    if (found == results_.end()) {
        server_->respond(token, {404, "{}"});
    } else {
        server_->respond(token, {200, found->second, "application/octet-stream"});
    }
}

void worker_standin::check_time() {
    const time_ms now = monotonic_now();
    for (auto& [id, t] : tasks_) {
        if (!is_active(t.report) || t.report.phase == task_phase::checkpointing) {
            continue;
        }
        if (lease_until_ > 0 && now > lease_until_) {
            const bool started = t.report.phase == task_phase::running;
            end_task(t, started ? task_outcome::stopped : task_outcome::not_started,
                     "lease lapsed");
        } else if (t.report.phase == task_phase::running &&
                   now - t.started_monotonic + t.progress_at_start >= t.program.run_ms) {
            end_task(t, task_outcome::done, "");
        }
    }
    const auto waiting = polls_;
    for (const auto& [token, p] : waiting) {
        if (now >= p.answer_by && !silent_ && on_) {
            polls_.erase(token);
            respond_report(token);
        }
    }
}

void worker_standin::changed() {
    ++version_;
    if (silent_ || !on_ || server_ == nullptr) {
        return;
    }
    const auto waiting = std::move(polls_);
    polls_.clear();
    for (const auto& [token, p] : waiting) {
        respond_report(token);
    }
}

void worker_standin::respond_report(std::uint64_t token) {
    server_->respond(token, {200, json(report()).dump()});
}

bool worker_standin::is_free(const block& b) const {
    for (const auto& [id, t] : tasks_) {
        if (is_active(t.report) && (mask_of(t.where) & mask_of(b)) != 0) {
            return false;
        }
    }
    return true;
}

worker_report worker_standin::report() const {
    worker_report r = {host_, incarnation_, version_, leaving_, owner_epoch_, {}};
    for (const auto& [id, t] : tasks_) {
        r.tasks.push_back(t.report);
    }
    return r;
}

void worker_standin::note(const task_report& t, const std::string& what) {
    history_.push_back(
        {host_, t.job, t.member, t.attempt, what, std::string(to_string(t.outcome)), wall_now()});
}

} // namespace fulmarworks
