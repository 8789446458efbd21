#include "reconcile.h"

#include "append_queue.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr time_ms order_retry_ms = 1000;
constexpr time_ms record_retry_ms = 5000;
constexpr time_ms retry_expiry_ms = 30000;
constexpr std::size_t max_retry_entries = 256;

/** A worker to reconcile: its host and the state of its link. */
struct worker_view {
    context& c;
    host_index h;
    worker_link& link;
};

std::string task_key(std::string_view what, const std::string& job_id, int member, int attempt) {
    return std::string(what) + "/" + job_id + "#" + std::to_string(member) + "@" +
           std::to_string(attempt);
}

bool is_due(worker_view& v, const std::string& key, time_ms interval) {
    return begin_attempt_if_due(v.link.retry_at, key, v.c.state.now.monotonic, interval);
}

/**
 * Returns whether a record is due. No records are queued while the log is unavailable; a later
 * comparison emits them.
 */
bool is_record_due(worker_view& v, const std::string& key) {
    return is_log_available(v.c.state) && is_due(v, key, record_retry_ms);
}

task_order base_order(const worker_view& v, task_operation operation) {
    const instance_state& s = v.c.state;
    task_order order;
    order.instance = s.settings.name;
    order.owner_epoch = s.ledger.rack_owners[s.ledger.hosts.hosts()[v.h].rack].epoch;
    order.worker_incarnation = v.link.report.incarnation;
    order.operation = operation;
    order.lease_ms = s.settings.limits.worker_lease_ms;
    return order;
}

void send(worker_view& v, task_order order) {
    const auto key = task_key(to_string(order.operation), order.job, order.member, order.attempt);
    if (is_due(v, key, order_retry_ms)) {
        emit(v.c, send_order{v.c.state.ledger.hosts.hosts()[v.h].name, v.link.address,
                             std::move(order)});
    }
}

void send_task_order(worker_view& v, task_operation operation, const job& j, int member) {
    task_order order = base_order(v, operation);
    order.job = j.id;
    order.member = member;
    order.attempt = j.attempt;
    order.where = j.members[member].where;
    order.shape = j.request.shape;
    order.progress_ms = j.progress_ms;
    if (operation == task_operation::start || operation == task_operation::prepare) {
        order.payload = j.request.payload;
    }
    send(v, std::move(order));
}

void send_task_order(worker_view& v, task_operation operation, const task_report& t) {
    task_order order = base_order(v, operation);
    order.job = t.job;
    order.member = t.member;
    order.attempt = t.attempt;
    send(v, std::move(order));
}

const task_report* find_task(const worker_link& link, const std::string& job_id, int member) {
    const auto found =
        std::find_if(link.report.tasks.begin(), link.report.tasks.end(),
                     [&](const auto& t) { return t.job == job_id && t.member == member; });
    return found == link.report.tasks.end() ? nullptr : &*found;
}

void record_task_end(worker_view& v, const job& j, int member, const task_report& t) {
    if (!is_record_due(v, task_key("ended", j.id, member, j.attempt))) {
        return;
    }
    task_ended r;
    r.job = j.id;
    r.attempt = j.attempt;
    r.member = member;
    r.host_incarnation = v.link.report.incarnation;
    r.outcome = t.outcome;
    r.started_at = t.started_at;
    r.run_ms = t.run_ms;
    r.progress_ms = t.progress_ms;
    r.error = t.error;
    r.result = {"", t.result_digest, t.result_size, t.result_inlined};
    const job_class* jc = class_of(v.c.state.ledger, j);
    const bool is_urgent = jc != nullptr && jc->priority == urgency::urgent;
    enqueue_record(v.c, is_urgent ? append_lane::urgent : append_lane::bulk, std::move(r));
}

void record_member_ready(worker_view& v, const job& j, int member) {
    if (is_record_due(v, task_key("ready", j.id, member, j.attempt))) {
        enqueue_record(v.c, append_lane::urgent, members_ready{j.id, j.attempt, {member}});
    }
}

void advance_unreported(worker_view& v, const job& j, int member) {
    if (j.phase == job_phase::stopping) {
        send_task_order(v, task_operation::revoke, j, member);
    } else if (may_start(j)) {
        send_task_order(v, task_operation::start, j, member);
    } else if (!j.members[member].ready) {
        send_task_order(v, task_operation::prepare, j, member);
    }
}

void advance_prepared(worker_view& v, const job& j, int member) {
    if (j.phase == job_phase::stopping) {
        send_task_order(v, task_operation::revoke, j, member);
    } else if (may_start(j)) {
        send_task_order(v, task_operation::start, j, member);
    } else if (!j.members[member].ready) {
        record_member_ready(v, j, member);
    }
}

void advance_running(worker_view& v, const job& j, int member, const task_report& t) {
    if (j.phase != job_phase::stopping) {
        return;
    }
    if (!j.checkpoint_first) {
        send_task_order(v, task_operation::stop, j, member);
    } else if (t.phase == task_phase::running) {
        send_task_order(v, task_operation::checkpoint, j, member);
    }
}

void advance_member(worker_view& v, const job& j, int member) {
    const task_report* t = find_task(v.link, j.id, member);
    if (t == nullptr || t->attempt < j.attempt) {
        advance_unreported(v, j, member);
        return;
    }
    if (t->attempt > j.attempt) {
        return;
    }
    switch (t->phase) {
    case task_phase::prepared: advance_prepared(v, j, member); return;
    case task_phase::running:
    case task_phase::checkpointing: advance_running(v, j, member, *t); return;
    case task_phase::ended: record_task_end(v, j, member, *t); return;
    }
}

/** Returns whether the ledger expects this attempt of the task on this worker. */
bool is_expected(const worker_view& v, const task_report& t) {
    const job* j = find_job(v.c.state.ledger, t.job);
    if (j == nullptr || t.member < 0 || t.member >= static_cast<int>(j->members.size())) {
        return j != nullptr && t.attempt > j->attempt;
    }
    const job_member& m = j->members[t.member];
    return t.attempt > j->attempt ||
           (t.attempt == j->attempt && m.where.host == v.h && m.outcome == task_outcome::none);
}

void clear_unexpected_tasks(worker_view& v) {
    for (const auto& t : v.link.report.tasks) {
        if (is_expected(v, t)) {
            continue;
        }
        switch (t.phase) {
        case task_phase::ended: send_task_order(v, task_operation::acknowledge, t); break;
        case task_phase::prepared: send_task_order(v, task_operation::revoke, t); break;
        case task_phase::running:
        case task_phase::checkpointing: send_task_order(v, task_operation::stop, t); break;
        }
    }
}

} // namespace

void reconcile_host(context& c, host_index h) {
    const auto found = c.state.workers.find(h);
    const bool usable =
        found != c.state.workers.end() && found->second.has_report && is_caught_up(c.state) &&
        found->second.report.incarnation == c.state.ledger.host_records[h].incarnation;
    if (!usable) {
        return;
    }
    worker_view v = {c, h, found->second};
    for (const auto& id : c.state.ledger.jobs_by_host[h]) {
        const job& j = c.state.ledger.jobs.at(id);
        for (int i = 0; i < static_cast<int>(j.members.size()); ++i) {
            const job_member& m = j.members[i];
            if (m.where.host == h && m.outcome == task_outcome::none) {
                advance_member(v, j, i);
            }
        }
    }
    clear_unexpected_tasks(v);
}

void remove_expired_retries(worker_link& link, time_ms now) {
    if (link.retry_at.size() < max_retry_entries) {
        return;
    }
    std::erase_if(link.retry_at,
                  [&](const auto& entry) { return entry.second + retry_expiry_ms < now; });
}

} // namespace fulmarworks
