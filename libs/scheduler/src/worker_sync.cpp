#include "worker_sync.h"

#include "expected_run.h"
#include "late_end.h"
#include "lease.h"
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
 * A worker that refuses a start, for lack of capacity or health, gets no new tasks for this long.
 */
constexpr time_ms refusal_quarantine_ms = 500;

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
    w.quarantined_until_ms = 0;
    ctx.state.capacities.mark_stale(w.report.incarnation.id);
    give_up_jobs(ctx, hopeless);
}

void set_clock_reference(worker& w, time_ms clock_ms, time_ms now_ms) {
    w.clock_reference_ms = clock_ms;
    w.clock_reference_at_ms = now_ms;
}

bool is_current(const task_ref& ref, const worker& w, std::uint32_t run) {
    return ref && is_assigned(ref.item->phase) && ref.item->run == run &&
           ref.item->where == w.report.incarnation;
}

void apply_ends(reduce_context& ctx, worker& w, const std::vector<ended_run>& ends) {
    for (const auto& end : ends) {
        if (end.sequence <= w.applied_sequence) {
            continue;
        }
        w.applied_sequence = end.sequence;
        std::erase_if(w.orphaned_runs,
                      [&](const auto& s) { return s.task == end.task && s.run == end.run; });
        const task_ref ref = find_task(ctx.state, end.task);
        withdraw_needless_placement(ctx, ref, end);
        if (is_current(ref, w, end.run) || is_late_success(ref, end)) {
            apply_end(ctx, ref, end);
        } else {
            log_unmatched_end(ctx, w.report.incarnation.id, ref, end);
        }
        ctx.state.plan_needed = true;
        ctx.state.capacities.mark_stale(w.report.incarnation.id);
    }
    if (w.applied_sequence > w.stored_sequence) {
        ctx.state.actions_after_next_batch.emplace_back(
            deferred_acknowledgement{w.report.incarnation, w.applied_sequence});
    }
}

void confirm_run(const task_ref& ref, time_ms now_ms) {
    task& t = *ref.item;
    // Not stored by itself: a new leader confirms the run again, from its worker's list.
    ref.owner->started = true;
    begin_measurement(t, now_ms);
    t.phase = task_phase::running;
    t.order_attempts = 0;
    t.confirmed_at_ms = now_ms;
    t.progressed_at_ms = now_ms;
}

void update_progress(reduce_context& ctx, const active_run& run, const task_ref& ref) {
    task& t = *ref.item;
    if (t.percent != run.percent) {
        t.percent = run.percent;
        t.progressed_at_ms = ctx.now.monotonic_ms;
        measure_progress(ctx, run.task, ref);
    }
}

void apply_active_run(reduce_context& ctx, const active_run& run, const task_ref& ref) {
    task& t = *ref.item;
    if (t.phase == task_phase::ordered || t.phase == task_phase::unverified) {
        confirm_run(ref, ctx.now.monotonic_ms);
        t.started_at_ms = t.started_at_ms == 0 ? ctx.now.monotonic_ms : t.started_at_ms;
    }
    update_progress(ctx, run, ref);
    if (!t.proven && ctx.now.monotonic_ms - t.confirmed_at_ms >= run_probation_ms) {
        t.proven = true;
        ctx.state.capacities.mark_stale(t.where.id);
    }
    if (!run.checkpoint.empty()) {
        t.checkpoint = run.checkpoint;
    }
    if (ref.owner->ended()) {
        stop_task(ctx, run.task, ref, "job_ended");
    }
}

void track_orphaned_run(reduce_context& ctx, worker& w, const active_run& run) {
    const auto same = [&](const auto& s) { return s.task == run.task && s.run == run.run; };
    auto found = std::find_if(w.orphaned_runs.begin(), w.orphaned_runs.end(), same);
    if (found == w.orphaned_runs.end()) {
        const task_ref ref = find_task(ctx.state, run.task);
        const resources need = ref ? booked_resources(*ref.spec) : w.report.capacity;
        w.orphaned_runs.push_back({run.task, run.run, need, 0});
        found = std::prev(w.orphaned_runs.end());
        ctx.state.capacities.mark_stale(w.report.incarnation.id);
        log_decision(ctx, "stray_run",
                     describe_task(run.task, run.run) + " worker=" + w.report.incarnation.id);
    }
    if (ctx.now.monotonic_ms - found->stop_sent_at_ms >= order_resend_interval_ms) {
        found->stop_sent_at_ms = ctx.now.monotonic_ms;
        ctx.out.emplace_back(send_stop{w.report.incarnation, w.report.address, run.task, run.run});
    }
}

/**
 * Releases an assignment that the worker does not list, once no start of the run can take effect.
 */
void reconcile_unlisted(reduce_context& ctx, const task_id& id, const task_ref& ref,
                        const poll_answered& answer) {
    task& t = *ref.item;
    const bool after_order = t.phase != task_phase::placed && answer.sent_at_ms > t.ordered_at_ms;
    t.start_delayed = t.start_delayed || after_order;
    switch (t.phase) {
    case task_phase::unverified: release_task(ctx, id, ref, "unknown_to_worker"); return;
    case task_phase::running:
        if (answer.sent_at_ms > t.confirmed_at_ms) {
            release_task(ctx, id, ref, "vanished");
        }
        return;
    case task_phase::ordered:
        if (after_order && answer.status.clock_ms > t.start_expires_at_worker_ms) {
            release_task(ctx, id, ref, "start_expired");
        }
        return;
    case task_phase::stopping:
        if (t.stop_confirmed_at_ms != 0 && answer.sent_at_ms > t.stop_confirmed_at_ms) {
            release_task(ctx, id, ref, "never_started");
        } else if (after_order && answer.status.clock_ms > t.start_expires_at_worker_ms) {
            release_task(ctx, id, ref, "start_expired");
        }
        return;
    default: return;
    }
}

void reconcile_runs(reduce_context& ctx, worker& w, const poll_answered& answer) {
    std::set<task_id> listed;
    const auto removed = std::erase_if(w.orphaned_runs, [&](const auto& s) {
        return std::none_of(
            answer.status.active.begin(), answer.status.active.end(),
            [&](const auto& run) { return run.task == s.task && run.run == s.run; });
    });
    if (removed > 0) {
        ctx.state.capacities.mark_stale(w.report.incarnation.id);
    }
    for (const auto& run : answer.status.active) {
        const task_ref ref = find_task(ctx.state, run.task);
        if (is_current(ref, w, run.run)) {
            listed.insert(run.task);
            apply_active_run(ctx, run, ref);
        } else {
            track_orphaned_run(ctx, w, run);
        }
    }
    std::vector<task_id> unlisted;
    std::set_difference(w.assigned.begin(), w.assigned.end(), listed.begin(), listed.end(),
                        std::back_inserter(unlisted));
    for (const auto& id : unlisted) {
        const task_ref ref = find_task(ctx.state, id);
        if (ref && is_assigned(ref.item->phase)) {
            reconcile_unlisted(ctx, id, ref, answer);
        }
    }
}

/** Returns whether two reports have the same capacity, pool and rack. */
bool same_capacity_and_location(const worker_report& a, const worker_report& b) {
    return a.capacity == b.capacity && a.pool == b.pool && a.rack == b.rack;
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
    w.answered_at_ms = ctx.now.monotonic_ms;
    w.alive_at_ms = std::max(w.alive_at_ms, answer.sent_at_ms);
    set_clock_reference(w, answer.status.clock_ms, ctx.now.monotonic_ms);
    apply_ends(ctx, w, answer.status.ended);
    reconcile_runs(ctx, w, answer);
    send_allowed_starts(ctx, w);
}

void apply_poll_failure(reduce_context& ctx, const poll_failed& failure) {
    worker* found = find_worker(ctx.state, failure.worker);
    if (found == nullptr) {
        return;
    }
    worker& w = *found;
    ctx.state.capacities.mark_stale(failure.worker);
    w.poll_outstanding = false;
    if (failure.reason == order_failure::fenced) {
        ctx.out.emplace_back(leadership_lost{});
        return;
    }
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

void apply_start_answer(reduce_context& ctx, const start_answered& answer) {
    const task_ref ref = find_task(ctx.state, answer.task);
    worker* w = find_worker(ctx.state, answer.worker);
    if (w == nullptr || !is_current(ref, *w, answer.run) ||
        ref.item->phase != task_phase::ordered) {
        return;
    }
    task& t = *ref.item;
    if (answer.accepted) {
        confirm_run(ref, ctx.now.monotonic_ms);
        return;
    }
    const bool sole_order = t.order_attempts <= 1;
    switch (answer.failure) {
    case order_failure::fenced: ctx.out.emplace_back(leadership_lost{}); return;
    case order_failure::expired: release_task(ctx, answer.task, ref, "start_expired"); return;
    case order_failure::no_capacity:
    case order_failure::rejected:
        quarantine_worker(ctx, *w, refusal_quarantine_ms);
        if (sole_order) {
            release_task(ctx, answer.task, ref, "refused_by_worker");
        } else {
            stop_task(ctx, answer.task, ref, "refused_by_worker");
        }
        return;
    case order_failure::superseded: stop_task(ctx, answer.task, ref, "superseded"); return;
    case order_failure::no_answer:
    case order_failure::other_incarnation: return; // the next poll shows the outcome
    }
}

void apply_stop_answer(reduce_context& ctx, const stop_answered& answer) {
    if (!answer.accepted) {
        if (answer.failure == order_failure::fenced) {
            ctx.out.emplace_back(leadership_lost{});
        }
        return;
    }
    const task_ref ref = find_task(ctx.state, answer.task);
    const worker* w = find_worker(ctx.state, answer.worker);
    if (w != nullptr && is_current(ref, *w, answer.run) &&
        ref.item->phase == task_phase::stopping && ref.item->stop_confirmed_at_ms == 0) {
        ref.item->stop_confirmed_at_ms = ctx.now.monotonic_ms;
    }
}

} // namespace fulmarworks::scheduler
