#include "run_lists.h"

#include "current_run.h"
#include "expected_run.h"
#include "late_end.h"
#include "speed_learning.h"
#include "worker_loss.h"
#include "worker_sync.h"

#include <algorithm>
#include <iterator>

namespace fulmarworks::scheduler {

namespace {

/** Maximum distance of an unreadable end's sequence number from the last one that was applied. One
 * that is further ahead can't be trusted either. */
constexpr std::uint64_t max_sequence_gap = 500;

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
    } else if (t.completed_earlier && t.phase == task_phase::running) {
        stop_task(ctx, run.task, ref, "earlier_run_done");
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
 * Precondition: the worker's lists are complete. Otherwise the run may have ended and be listed
 * once the worker has forgotten earlier ends.
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
        if (t.stop_confirmed_at_ms != 0 && answer.sent_at_ms > t.stop_confirmed_at_ms &&
            !may_still_be_sent(t, ctx.now.monotonic_ms)) {
            release_task(ctx, id, ref, "never_started");
        } else if (after_order && answer.status.clock_ms > t.start_expires_at_worker_ms) {
            release_task(ctx, id, ref, "start_expired");
        }
        return;
    default: return;
    }
}

} // namespace

void apply_ends(reduce_context& ctx, worker& w, const worker_status& status) {
    for (const auto& end : status.ended) {
        if (end.sequence <= w.applied_sequence) {
            continue;
        }
        w.applied_sequence = end.sequence;
        std::erase_if(w.orphaned_runs,
                      [&](const auto& s) { return s.task == end.task && s.run == end.run; });
        const task_ref ref = find_task(ctx.state, end.task);
        if (is_current(ref, w, end.run)) {
            apply_end(ctx, ref, end);
        } else {
            apply_late_end(ctx, w.report.incarnation.id, ref, end);
        }
        ctx.state.plan_needed = true;
        ctx.state.capacities.mark_stale(w.report.incarnation.id);
    }
    // Unless the worker drops it, its lists stay incomplete, and whatever run this was never ends.
    const std::uint64_t unreadable = status.last_unreadable_end;
    if (unreadable > w.applied_sequence && unreadable - w.applied_sequence <= max_sequence_gap) {
        w.applied_sequence = unreadable;
    }
    if (w.applied_sequence > w.stored_sequence) {
        ctx.state.actions_after_next_batch.emplace_back(
            deferred_acknowledgement{w.report.incarnation, w.applied_sequence});
    }
}

void reconcile_runs(reduce_context& ctx, worker& w, const poll_answered& answer) {
    std::set<task_id> listed;
    const bool all_active_known = answer.status.unreadable_rows == 0;
    const auto removed = std::erase_if(w.orphaned_runs, [&](const auto& s) {
        return all_active_known && std::none_of(answer.status.active.begin(),
                                                answer.status.active.end(), [&](const auto& run) {
                                                    return run.task == s.task && run.run == s.run;
                                                });
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
    if (answer.status.incomplete) {
        return;
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

} // namespace fulmarworks::scheduler
