#include "worker_sync.h"

#include "current_run.h"
#include "expected_run.h"
#include "lease.h"
#include "run_lists.h"
#include "speed_learning.h"
#include "worker_loss.h"
#include "worker_speed.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace fulmarworks::scheduler {

namespace {

/**
 * Returns whether a run that was ordered from the previous incarnation may have started in the new
 * one.
 */
bool may_run_in_new_incarnation(const task& t, const worker& w) {
    switch (t.phase) {
    case task_phase::placed: return false;
    case task_phase::running: return t.confirmed_at_ms >= w.alive_at_ms;
    default: return true;
    }
}

/**
 * Applies a restart of a worker. Runs of the previous incarnation have ended. As both incarnations
 * have the same id, a start that was in transit may have been executed by the new one; such a run
 * is stopped there before its task starts on another worker.
 */
void begin_incarnation(reduce_context& ctx, worker& w, time_ms started_wall_ms) {
    log_decision(ctx, "worker_restarted",
                 "worker=" + w.report.incarnation.id +
                     " born_ms=" + std::to_string(started_wall_ms));
    const auto hopeless = count_worker_crash(ctx, w, loss_evidence::restarted);
    discount_evidence(ctx.state.speeds, w.report.incarnation.id);
    w.report.incarnation.started_wall_ms = started_wall_ms;
    const auto assigned = w.assigned;
    for (const auto& id : assigned) {
        const task_ref ref = find_task(ctx.state, id);
        if (!ref || !is_assigned(ref.item->phase)) {
            w.assigned.erase(id);
        } else if (may_run_in_new_incarnation(*ref.item, w)) {
            task& t = *ref.item;
            t.where.started_wall_ms = started_wall_ms;
            t.stop_confirmed_at_ms = 0;
            t.start_expires_at_worker_ms = std::numeric_limits<time_ms>::max();
            t.phase = task_phase::ordered;
            stop_task(ctx, id, ref, "worker_restarted");
        } else {
            release_task(ctx, id, ref, "worker_restarted");
        }
    }
    w.orphaned_runs.clear();
    w.applied_sequence = 0;
    w.stored_sequence = 0;
    w.lease_ends_at_worker_ms = 0;
    // Deadlines on the previous incarnation's clock are invalid for the new one. Any lease that it
    // accepts lasts at most this long.
    const time_ms longest = ctx.state.limits.max_lease_ms;
    w.lease_expiry_bound_ms =
        w.assigned.empty() ? 0 : latest_lease_end(ctx.now.monotonic_ms, longest);
    w.earlier_leader_may_renew = false;
    w.clock_reference_ms = 0;
    w.alive_at_ms = 0;
    w.failed_jobs.clear();
    w.completed_run_at_ms = 0;
    w.quarantined_until_ms = 0;
    ctx.state.capacities.mark_stale(w.report.incarnation.id);
    give_up_jobs(ctx, hopeless);
}

/** Takes a reading of a worker's clock. An answer that was handled late, and so is a lower bound
 * than the one known, is ignored. */
void set_clock_reference(worker& w, time_ms clock_ms, time_ms now_ms) {
    if (w.clock_reference_ms != 0 && worker_clock(w, now_ms) > clock_ms) {
        return;
    }
    w.clock_reference_ms = clock_ms;
    w.clock_reference_at_ms = now_ms;
}

/** Returns whether two reports have the same capacity, pool and rack. */
bool same_capacity_and_location(const worker_report& a, const worker_report& b) {
    return a.capacity == b.capacity && a.pool == b.pool && a.rack == b.rack;
}

/**
 * Returns whether the latest poll, which was given up, may have been answered: the leader has been
 * late while it was open. After some of these in a row, the worker counts as silent nevertheless,
 * so that a leader that is always late gives up the workers that it has lost.
 */
bool may_have_answered(const coordinator_state& state, const worker& w) {
    return state.handled_late_at_ms > w.poll_sent_at_ms && w.unheard_polls < max_unheard_polls;
}

} // namespace

void release_all(reduce_context& ctx, worker& w, std::string_view reason) {
    const auto assigned = w.assigned;
    for (const auto& id : assigned) {
        if (const task_ref ref = find_task(ctx.state, id)) {
            release_task(ctx, id, ref, reason);
        } else {
            w.assigned.erase(id);
        }
    }
    w.orphaned_runs.clear();
    ctx.state.capacities.mark_stale(w.report.incarnation.id);
}

void apply_report(reduce_context& ctx, const worker_reported& reported) {
    const worker_report& report = reported.report;
    worker& w = ctx.state.workers[report.incarnation.id];
    const bool was_draining = w.report.draining && w.listed;
    // Reports repeat continuously, and most of them don't change the capacity.
    if (!w.listed || was_draining != report.draining ||
        !same_capacity_and_location(w.report, report)) {
        ctx.state.capacities.mark_stale(report.incarnation.id);
    }
    const time_ms known_start_ms = w.report.incarnation.started_wall_ms;
    w.report = report;
    w.reported_after_ms = reported.written_after_ms;
    w.has_left = false;
    w.leaves_at_ms = ctx.now.monotonic_ms + report.remaining_ms;
    w.report.incarnation.started_wall_ms =
        std::max(known_start_ms, report.incarnation.started_wall_ms);
    if (known_start_ms != 0 && report.incarnation.started_wall_ms > known_start_ms) {
        w.report.incarnation.started_wall_ms = known_start_ms;
        begin_incarnation(ctx, w, report.incarnation.started_wall_ms);
        w.verified = false;
    }
    if (w.clock_reference_ms == 0) {
        // The worker's clock has advanced since the reading, so leases end slightly early until the
        // worker answers a poll.
        set_clock_reference(w, report.clock_ms, ctx.now.monotonic_ms);
    }
    if (!w.listed || was_draining != report.draining) {
        log_decision(ctx, "worker_listed",
                     "worker=" + report.incarnation.id + " draining=" +
                         std::to_string(report.draining ? 1 : 0) + " written_within_ms=" +
                         std::to_string(ctx.now.monotonic_ms - reported.written_after_ms));
        ctx.state.plan_needed = true;
    }
    w.listed = true;
}

void apply_poll(reduce_context& ctx, const poll_answered& answer) {
    worker* found = find_worker(ctx.state, answer.worker);
    if (found == nullptr) {
        return;
    }
    worker& w = *found;
    w.poll_outstanding = false;
    const time_ms known_start_ms = w.report.incarnation.started_wall_ms;
    if (answer.status.started_wall_ms < known_start_ms) {
        return; // late answer of a previous incarnation
    }
    if (answer.status.started_wall_ms > known_start_ms && known_start_ms != 0) {
        begin_incarnation(ctx, w, answer.status.started_wall_ms);
    }
    w.report.incarnation.started_wall_ms = answer.status.started_wall_ms;
    if (!w.lost_runs.empty()) {
        forget_lost_runs(ctx, w);
    }
    if (!w.verified || w.failed_polls > 0) {
        ctx.state.plan_needed = true;
        ctx.state.capacities.mark_stale(answer.worker);
        log_decision(ctx, "worker_reachable", "worker=" + answer.worker);
        exclude_from_statistics(ctx.state, answer.status.ended);
    }
    if (std::exchange(w.earlier_leader_may_renew, false)) {
        // From this answer on, the worker refuses the earlier leaders' orders.
        w.lease_expiry_bound_ms =
            latest_lease_end(ctx.now.monotonic_ms, granted_lease(ctx.state.limits));
    }
    w.verified = true;
    w.failed_polls = 0;
    w.unheard_polls = 0;
    w.answered_at_ms = ctx.now.monotonic_ms;
    w.alive_at_ms = std::max(w.alive_at_ms, answer.sent_at_ms);
    set_clock_reference(w, answer.status.clock_ms, ctx.now.monotonic_ms);
    if (answer.status.unreadable_rows > 0) {
        log_decision(ctx, "worker_lists_unreadable",
                     "worker=" + answer.worker +
                         " rows=" + std::to_string(answer.status.unreadable_rows));
    }
    apply_ends(ctx, w, answer.status);
    reconcile_runs(ctx, w, answer);
    send_allowed_starts(ctx, w);
}

void apply_poll_failure(reduce_context& ctx, const poll_failed& failure) {
    worker* found = find_worker(ctx.state, failure.worker);
    if (found == nullptr) {
        return;
    }
    worker& w = *found;
    w.poll_outstanding = false;
    if (failure.reason == order_failure::fenced) {
        ctx.out.emplace_back(leadership_lost{});
        return;
    }
    if (failure.reason == order_failure::no_answer && may_have_answered(ctx.state, w)) {
        ++w.unheard_polls;
        return;
    }
    w.failed_poll_sent_at_ms = w.poll_sent_at_ms;
    ctx.state.capacities.mark_stale(failure.worker);
    note_failed_poll(w, failure.reason, ctx.now.monotonic_ms);
    if (w.failed_polls++ == 0) {
        log_decision(ctx, "worker_unreachable", "worker=" + failure.worker);
    }
    release_placed_tasks(ctx, w, "worker_unreachable");
    if (failure.reason == order_failure::other_incarnation) {
        // The address now serves another incarnation, so this one has terminated.
        w.verified = false;
        const auto hopeless = count_worker_crash(ctx, w, loss_evidence::replaced);
        release_all(ctx, w, "worker_replaced");
        give_up_jobs(ctx, hopeless);
    }
}

} // namespace fulmarworks::scheduler
