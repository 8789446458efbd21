#include "log_follower.h"

#include "append_queue.h"
#include "callers.h"
#include "ledger/snapshot.h"
#include "membership.h"
#include "reconcile.h"
#include "worker_links.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr time_ms load_retry_ms = 1000;
constexpr time_ms read_retry_ms = 100;
constexpr time_ms max_read_retry_ms = 1000;
constexpr time_ms snapshot_retry_ms = 10000;
constexpr time_ms planning_interval_ms = 250;
/** Delay per rank after which an instance plans in place of inactive ones of lower rank. */
constexpr time_ms planner_failover_ms = 600;

void handle_apply_effects(context& c, const apply_effects& effects) {
    instance_state& s = c.state;
    s.planning_requested = s.planning_requested || !effects.jobs.empty() ||
                           !effects.hosts.empty() || effects.configuration_changed;
    if (effects.membership_changed) {
        update_links(c);
        answer_suspicion(c);
    }
    if (effects.configuration_changed) {
        answer_publishers(c);
    }
    for (const auto& id : effects.jobs) {
        answer_callers_of(c, id);
    }
}

void apply_record(context& c, std::uint64_t offset, std::string_view text,
                  std::set<host_index>& touched) {
    const auto decoded = decode_record(text);
    if (!decoded) {
        skip_unreadable(c.state.ledger, offset);
        return;
    }
    const record& r = decoded.value();
    const apply_effects effects = apply(c.state.ledger, offset, r);
    if (r.header.writer == c.state.settings.name) {
        acknowledge_own_record(c, r.header);
    }
    touched.insert(effects.hosts.begin(), effects.hosts.end());
    handle_apply_effects(c, effects);
}

bool is_plan_applied(const instance_state& s) {
    const auto found = s.ledger.writers.find(s.settings.name + "/urgent");
    return found != s.ledger.writers.end() && found->second.incarnation == s.settings.incarnation &&
           found->second.sequence >= s.plan_sequence;
}

/**
 * Returns whether the first job of any queue has waited longer than the failover delay of this
 * rank. An instance of rank above 0 plans only then, because those of lower rank appear inactive.
 */
bool has_overdue_work(const instance_state& s, int rank) {
    return std::any_of(s.ledger.queues.begin(), s.ledger.queues.end(), [&](const auto& entry) {
        if (entry.second.empty()) {
            return false;
        }
        const job& first = s.ledger.jobs.at(entry.second.begin()->job);
        return s.now.wall > first.submitted_at + rank * planner_failover_ms &&
               first.not_before + rank * planner_failover_ms < s.now.wall;
    });
}

bool is_planning_due(const instance_state& s) {
    const bool member = s.ledger.instances.contains(s.settings.name);
    if (!member || s.phase != instance_phase::following || !is_caught_up(s) ||
        !is_log_available(s) || s.plan_in_flight) {
        return false;
    }
    const int rank = rank_for(s, "planner");
    if (rank == 0) {
        return s.planning_requested || s.now.monotonic >= s.next_plan_at;
    }
    return s.now.monotonic >= s.next_plan_at && has_overdue_work(s, rank);
}

} // namespace

void handle_log(context& c, const snapshot_loaded& e) {
    instance_state& s = c.state;
    s.last_log_answer_at = s.now.monotonic;
    if (!e.text.empty()) {
        auto decoded = decode_snapshot(e.text);
        if (!decoded) {
            count(c, "malformed_snapshot");
            s.next_load_at = s.now.monotonic + load_retry_ms;
            return;
        }
        s.ledger = std::move(decoded.value());
    }
    s.last_snapshot_offset = s.ledger.next_offset;
    emit(c, read_log{s.ledger.next_offset, 0});
}

void handle_log(context& c, const snapshot_load_failed&) {
    c.state.next_load_at = c.state.now.monotonic + load_retry_ms;
}

void handle_log(context& c, const log_records& e) {
    instance_state& s = c.state;
    s.last_log_answer_at = s.now.monotonic;
    s.log_failures = 0;
    s.log_tail = std::max(s.log_tail, e.tail);
    std::set<host_index> touched;
    std::uint64_t offset = e.first_offset;
    for (const auto& text : e.texts) {
        if (offset == s.ledger.next_offset) {
            apply_record(c, offset, text, touched);
        }
        ++offset;
    }
    if (s.phase == instance_phase::loading && is_caught_up(s)) {
        s.phase = instance_phase::following;
        update_links(c);
        answer_suspicion(c);
    }
    for (const host_index h : touched) {
        reconcile_host(c, h);
    }
    emit(c, read_log{s.ledger.next_offset, 0});
}

void handle_log(context& c, const log_trimmed&) {
    count(c, "behind_trim_point");
    c.state.phase = instance_phase::loading;
    c.state.next_load_at = c.state.now.monotonic + load_retry_ms;
}

void handle_log(context& c, const log_read_failed&) {
    instance_state& s = c.state;
    ++s.log_failures;
    count(c, "retry.log_read");
    const time_ms delay = std::min(read_retry_ms * s.log_failures, max_read_retry_ms);
    emit(c, read_log{s.ledger.next_offset, s.now.monotonic + delay});
}

void handle_log(context& c, const snapshot_written& e) {
    instance_state& s = c.state;
    s.snapshot_in_progress = false;
    s.next_snapshot_at = s.now.monotonic +
                         (e.succeeded ? s.settings.limits.snapshot_interval_ms : snapshot_retry_ms);
    count(c, e.succeeded ? "snapshot_written" : "retry.snapshot_write");
}

void check_snapshots(context& c) {
    instance_state& s = c.state;
    if (s.phase == instance_phase::loading && s.next_load_at != 0 &&
        s.now.monotonic >= s.next_load_at) {
        s.next_load_at = 0;
        emit(c, load_snapshot{});
    }
    const bool many_records = s.ledger.next_offset >=
                              s.last_snapshot_offset + s.settings.limits.snapshot_interval_records;
    const bool due = many_records || s.now.monotonic >= s.next_snapshot_at;
    if (s.phase != instance_phase::following || s.snapshot_in_progress || !due ||
        !is_log_available(s) || rank_for(s, "snapshot") != 0) {
        return;
    }
    s.snapshot_in_progress = true;
    s.last_snapshot_offset = s.ledger.next_offset;
    s.next_snapshot_at = s.now.monotonic + s.settings.limits.snapshot_interval_ms;
    emit(c, write_snapshot{s.ledger.next_offset, encode_snapshot(s.ledger)});
}

void plan_if_due(context& c) {
    instance_state& s = c.state;
    if (s.plan_in_flight && is_plan_applied(s)) {
        s.plan_in_flight = false;
    }
    if (!is_planning_due(s)) {
        return;
    }
    s.planning_requested = false;
    s.next_plan_at = s.now.monotonic + planning_interval_ms;
    for (auto& body : plan_step(s.ledger, s.planning, s.now.wall, s.planner)) {
        s.plan_sequence = enqueue_record(c, append_lane::urgent, std::move(body));
        s.plan_in_flight = true;
    }
}

} // namespace fulmarworks
