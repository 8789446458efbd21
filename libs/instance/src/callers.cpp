#include "callers.h"

#include "append_queue.h"
#include "instance/job_report.h"
#include "placement/find_placement.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

constexpr time_ms short_retry_ms = 1000;
constexpr time_ms long_retry_ms = 5000;
constexpr time_ms acceptance_limit_ms = 5000;

struct refusal {
    int status = status_ok;
    const char* reason = "";
    const char* message = "";
    time_ms retry_after_ms = 0;
};

constexpr refusal shutting_down = {status_unavailable, "shutting_down",
                                   "this instance is leaving; send the request again",
                                   short_retry_ms};
constexpr refusal not_ready = {status_unavailable, "not_ready",
                               "this instance has not caught up; send the request again",
                               short_retry_ms};
constexpr refusal store_unavailable = {
    status_unavailable, "store_unavailable",
    "the log service does not answer, so nothing was recorded; come back later", long_retry_ms};
constexpr refusal overloaded = {status_unavailable, "overloaded",
                                "too many requests wait for the log; come back later",
                                short_retry_ms};
constexpr refusal too_many_callers = {status_unavailable, "too_many_callers",
                                      "too many callers wait here; poll instead of waiting",
                                      short_retry_ms};
constexpr refusal queue_full = {status_too_many, "queue_full",
                                "the queue of the account or class is full; come back later",
                                long_retry_ms};
constexpr refusal unknown_name = {
    status_not_found, "unknown_name",
    "the account or class is not configured; correct the name or publish it", 0};
constexpr refusal never_fits = {
    status_unprocessable, "never_fits",
    "no host pool could ever hold this job; ask for fewer tasks or a smaller shape", 0};
constexpr refusal request_id_conflict = {
    status_conflict, "request_id_conflict",
    "the request id was used for a different request; choose a new one", 0};
constexpr refusal unknown_job = {status_not_found, "unknown_job",
                                 "no such job; check the account and request id", 0};

void refuse(context& c, caller_token token, const refusal& r) {
    count(c, std::string("refused.") + r.reason);
    json body = {{"state", "refused"}, {"reason", r.reason}, {"message", r.message}};
    emit(c, reply{token, r.status, std::move(body), r.retry_after_ms});
}

void answer_with_job(context& c, caller_token token, const job& j) {
    const bool is_over = is_final(j.phase);
    const time_ms retry = j.reason == job_reason::queue_full ? long_retry_ms : 0;
    emit(c,
         reply{token, is_over ? status_ok : status_accepted, report_job(c.state.ledger, j), retry});
}

void answer_unknown(context& c, caller_token token, const std::string& job_id) {
    json body = {{"job", job_id},
                 {"state", "unknown"},
                 {"message", "not yet known whether it was recorded; ask for its status"}};
    emit(c, reply{token, status_accepted, std::move(body), short_retry_ms});
}

bool is_answered_by(const waiting_caller& w, const job& j) {
    switch (w.until) {
    case caller_wait::acceptance: return true;
    case caller_wait::cancellation: return j.cancel_requested || is_final(j.phase);
    case caller_wait::final_outcome: return is_final(j.phase);
    }
    return true;
}

void add_caller(context& c, const std::string& job_id, caller_token token, caller_wait until,
                time_ms wait_ms) {
    instance_state& s = c.state;
    if (s.waiting_callers >= s.settings.limits.max_waiting_callers) {
        refuse(c, token, too_many_callers);
        return;
    }
    const time_ms limited = std::clamp<time_ms>(wait_ms, 0, s.settings.limits.max_wait_ms);
    const time_ms wait = until == caller_wait::final_outcome ? limited : acceptance_limit_ms;
    s.callers[job_id].push_back({token, s.now.monotonic + wait, until});
    ++s.waiting_callers;
    if (find_job(s.ledger, job_id) != nullptr) {
        answer_callers_of(c, job_id);
    }
}

/**
 * Answers and removes the callers for which `is_due` holds. The state in the answer is "unknown" if
 * the job is not in the ledger.
 */
template <class Predicate>
void answer_if(context& c, const std::string& job_id, std::vector<waiting_caller>& waiting,
               Predicate is_due) {
    const job* j = find_job(c.state.ledger, job_id);
    std::erase_if(waiting, [&](const waiting_caller& w) {
        if (!is_due(w, j)) {
            return false;
        }
        if (j == nullptr) {
            answer_unknown(c, w.token, job_id);
        } else {
            answer_with_job(c, w.token, *j);
        }
        --c.state.waiting_callers;
        return true;
    });
}

const refusal* admission_refusal(const instance_state& s, const job_request& r) {
    const client_account* account = find_named(s.ledger.config.client_accounts, r.client_account);
    const job_class* wanted = find_named(s.ledger.config.job_classes, r.job_class);
    if (account == nullptr || wanted == nullptr) {
        return &unknown_name;
    }
    if (!fits_when_empty(s.ledger.hosts, r.shape, r.tasks)) {
        return &never_fits;
    }
    const auto queue = s.ledger.queues.find(r.client_account);
    if (queue != s.ledger.queues.end() &&
        static_cast<int>(queue->second.size()) >= account->queue_limit) {
        return &queue_full;
    }
    return nullptr;
}

const refusal* service_refusal(const instance_state& s) {
    if (s.phase == instance_phase::leaving) {
        return &shutting_down;
    }
    if (s.phase != instance_phase::following) {
        return &not_ready;
    }
    if (!is_log_available(s)) {
        return &store_unavailable;
    }
    const auto limit = static_cast<std::size_t>(s.settings.limits.max_pending_records);
    return pending_records(s) >= limit ? &overloaded : nullptr;
}

/**
 * Attaches the caller to a request with the same id that was submitted before, or refuses it if the
 * two differ. Returns false if there is no such request.
 */
bool attach_to_known(context& c, const caller_submitted& e, const std::string& id,
                     const std::string& digest) {
    const job* known = find_job(c.state.ledger, id);
    const auto pending = c.state.submitted.find(id);
    if (known == nullptr && pending == c.state.submitted.end()) {
        return false;
    }
    const std::string& known_digest = known != nullptr ? known->request_digest : pending->second;
    if (known_digest != digest) {
        refuse(c, e.token, request_id_conflict);
        return true;
    }
    count(c, "attached_to_known_request");
    add_caller(c, id, e.token, e.wait_ms > 0 ? caller_wait::final_outcome : caller_wait::acceptance,
               e.wait_ms);
    return true;
}

void refuse_unsent_submissions(context& c) {
    for (const auto& id : withdraw_unsent_submissions(c)) {
        c.state.submitted.erase(id);
        for (const auto& w : c.state.callers[id]) {
            refuse(c, w.token, store_unavailable);
            --c.state.waiting_callers;
        }
        c.state.callers.erase(id);
    }
}

} // namespace

void handle_caller(context& c, const caller_submitted& e) {
    const std::string id = job_id_of(e.request.client_account, e.request.request_id);
    const std::string digest = digest_of(e.request);
    if (c.state.phase == instance_phase::following && attach_to_known(c, e, id, digest)) {
        return;
    }
    const refusal* why = service_refusal(c.state);
    if (why == nullptr) {
        why = admission_refusal(c.state, e.request);
    }
    if (why != nullptr) {
        refuse(c, e.token, *why);
        return;
    }
    const job_class* wanted = find_named(c.state.ledger.config.job_classes, e.request.job_class);
    const bool is_urgent = wanted->priority == urgency::urgent;
    enqueue_record(c, is_urgent ? append_lane::urgent : append_lane::bulk,
                   job_submitted{e.request});
    c.state.submitted[id] = digest;
    add_caller(c, id, e.token, e.wait_ms > 0 ? caller_wait::final_outcome : caller_wait::acceptance,
               e.wait_ms);
}

void handle_caller(context& c, const caller_queried& e) {
    const job* known = find_job(c.state.ledger, e.job);
    if (known == nullptr && !c.state.submitted.contains(e.job)) {
        const bool may_be_behind = c.state.phase == instance_phase::loading;
        refuse(c, e.token, may_be_behind ? not_ready : unknown_job);
        return;
    }
    if (known != nullptr && (e.wait_ms == 0 || is_final(known->phase))) {
        answer_with_job(c, e.token, *known);
        return;
    }
    add_caller(c, e.job, e.token, caller_wait::final_outcome, e.wait_ms);
}

void handle_caller(context& c, const caller_cancelled& e) {
    const job* known = find_job(c.state.ledger, e.job);
    if (known == nullptr) {
        refuse(c, e.token, unknown_job);
        return;
    }
    if (is_final(known->phase) || known->cancel_requested) {
        answer_with_job(c, e.token, *known);
        return;
    }
    if (const refusal* why = service_refusal(c.state)) {
        refuse(c, e.token, *why);
        return;
    }
    enqueue_record(c, append_lane::bulk, cancel_requested{e.job});
    add_caller(c, e.job, e.token, caller_wait::cancellation, 0);
}

void handle_caller(context& c, const caller_published& e) {
    if (const refusal* why = service_refusal(c.state)) {
        refuse(c, e.token, *why);
        return;
    }
    enqueue_record(c, append_lane::urgent, config_published{e.publish_id, e.based_on, e.document});
    c.state.publishers[e.publish_id] = {e.token, c.state.now.monotonic + acceptance_limit_ms};
}

void handle_caller(context& c, const caller_disconnected& e) {
    for (auto& [job_id, waiting] : c.state.callers) {
        c.state.waiting_callers -= static_cast<int>(
            std::erase_if(waiting, [&](const waiting_caller& w) { return w.token == e.token; }));
    }
    std::erase_if(c.state.publishers,
                  [&](const auto& entry) { return entry.second.token == e.token; });
}

void answer_callers_of(context& c, const std::string& job_id) {
    const job* known = find_job(c.state.ledger, job_id);
    if (known != nullptr) {
        c.state.submitted.erase(job_id);
    }
    const auto found = c.state.callers.find(job_id);
    if (found == c.state.callers.end()) {
        return;
    }
    answer_if(c, job_id, found->second, [](const waiting_caller& w, const job* j) {
        return j != nullptr && is_answered_by(w, *j);
    });
    if (found->second.empty()) {
        c.state.callers.erase(found);
    }
}

void answer_publishers(context& c) {
    std::erase_if(c.state.publishers, [&](const auto& entry) {
        const publish_outcome* outcome = find_publish(c.state.ledger, entry.first);
        if (outcome == nullptr) {
            return false;
        }
        json body = {{"publish_id", entry.first},
                     {"accepted", outcome->accepted},
                     {"version", outcome->version},
                     {"faults", outcome->faults}};
        int status = status_ok;
        if (!outcome->accepted) {
            status = outcome->faults.empty() ? status_conflict : status_unprocessable;
            body["reason"] = outcome->faults.empty() ? "version_conflict" : "faulty_configuration";
        }
        emit(c, reply{entry.second.token, status, std::move(body), 0});
        return true;
    });
}

void check_callers(context& c) {
    if (!is_log_available(c.state)) {
        refuse_unsent_submissions(c);
    }
    const time_ms now = c.state.now.monotonic;
    for (auto& [job_id, waiting] : c.state.callers) {
        answer_if(c, job_id, waiting,
                  [&](const waiting_caller& w, const job*) { return now >= w.answer_by; });
    }
    std::erase_if(c.state.callers, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(c.state.publishers, [&](const auto& entry) {
        if (now < entry.second.answer_by) {
            return false;
        }
        json body = {{"publish_id", entry.first},
                     {"state", "unknown"},
                     {"message", "not yet known whether it took effect; publish it again with the "
                                 "same publish_id"}};
        emit(c, reply{entry.second.token, status_accepted, std::move(body), short_retry_ms});
        return true;
    });
}

void answer_all_callers(context& c) {
    for (auto& [job_id, waiting] : c.state.callers) {
        answer_if(c, job_id, waiting, [](const waiting_caller&, const job*) { return true; });
    }
    c.state.callers.clear();
}

} // namespace fulmarworks
