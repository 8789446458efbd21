#include "current_run.h"
#include "lease.h"
#include "overbooking.h"
#include "run_supervision.h"
#include "start_permission.h"
#include "worker_loss.h"
#include "worker_pass.h"
#include "worker_sync.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

/** Time that a busy worker may wait for a run to end before it answers a poll. */
constexpr time_ms busy_poll_wait_ms = 1000;
/**
 * Interval between polls of an idle worker, unless `max_idle_polls_per_s` requires a longer one.
 */
constexpr time_ms idle_poll_interval_ms = 4000;
/**
 * Maximum rate of polls of idle workers. Most of them need a new connection; this rate takes about
 * 4% of a core.
 */
constexpr std::size_t max_idle_polls_per_s = 100;
/**
 * Over this interval, clocks whose rates differ by 2% drift apart by less than one second of the
 * three seconds for which a start is valid.
 */
constexpr time_ms longest_idle_poll_interval_ms = 40'000;
/** Delay after a failed poll, which limits the load on an unreachable worker. */
constexpr time_ms failed_poll_retry_delay_ms = 300;
/** The same for a worker that is neither in the registry nor has any assignment. It is polled only
 * to find out what became of its runs. */
constexpr time_ms unlisted_poll_retry_delay_ms = 1000;
/**
 * Interval between polls of a worker while the effect of its ended runs is being stored. It answers
 * them at once, because ends are listed, so they can't be held back. Without them its lease would
 * expire in an outage of the store.
 */
constexpr time_ms unstored_ends_interval_ms = 500;
/**
 * The same for a draining worker. It may leave before the ends are stored; runs that end until then
 * are run again unless their ends are read.
 */
constexpr time_ms unstored_ends_draining_interval_ms = 100;
/** Interval between checks for stalled runs and unanswered orders. */
constexpr time_ms inspection_interval_ms = 100;
/** Time beyond the stop timeout within which the worker lists the end of a run whose stop it has
 * confirmed. After that, the stop is sent again. */
constexpr time_ms confirmed_stop_margin_ms = 1000;
/** Number of times that a start is sent; after that, the poll answers of the worker decide. */
constexpr std::uint32_t max_start_attempts = 3;

/**
 * Returns for how long a worker may hold back its answer to a poll. A suspect's run is observed
 * more closely, so that a crash after its probation isn't taken for a crash at its start.
 */
time_ms poll_wait(reduce_context& ctx, const worker& w) {
    const bool busy = !w.assigned.empty() || !w.orphaned_runs.empty();
    if (!w.verified || w.failed_polls > 0 || !busy) {
        return 0;
    }
    time_ms wait = busy_poll_wait_ms;
    for (const auto& id : w.assigned) {
        const task_ref ref = find_task(ctx.state, id);
        if (!ref || ref.item->proven || !is_suspect(ref.item->losses)) {
            continue;
        }
        wait = awaits_answer(*ref.item, w, ctx.now.monotonic_ms) ? 0
                                                                 : std::min(wait, run_probation_ms);
    }
    return wait;
}

void poll(reduce_context& ctx, worker& w) {
    const time_ms now = ctx.now.monotonic_ms;
    const bool busy = !w.assigned.empty() || !w.orphaned_runs.empty();
    // The lease of a worker that does not answer is not extended, so that its work can move to
    // other workers.
    const bool renew = busy && w.clock_reference_ms != 0 && w.failed_polls == 0;
    // A worker that has started again since its last answer would drop ends of its own, as it
    // counts them anew.
    const bool same_incarnation = w.verified && w.failed_polls == 0 && w.unheard_polls == 0;
    time_ms lease_end = 0;
    if (renew) {
        lease_end = worker_clock(w, now) + granted_lease(ctx.state.limits);
        grant_lease(w, lease_end);
    }
    w.poll_outstanding = true;
    w.poll_sent_at_ms = now;
    w.poll_wait_ms = w.unheard_polls > 0 ? 0 : poll_wait(ctx, w);
    ctx.out.emplace_back(send_poll{w.report.incarnation, w.report.address, lease_end,
                                   same_incarnation ? w.stored_sequence : 0, w.poll_wait_ms});
}

time_ms idle_interval_ms(std::size_t workers) {
    const auto spread =
        static_cast<time_ms>(workers / max_idle_polls_per_s) * milliseconds_per_second;
    return std::clamp(spread, idle_poll_interval_ms, longest_idle_poll_interval_ms);
}

bool poll_due(const worker& w, time_ms now_ms, time_ms idle_interval) {
    if (w.poll_outstanding || w.report.address.empty()) {
        return false;
    }
    if (w.failed_polls > 0) {
        const bool unlisted = !w.listed && w.assigned.empty();
        return now_ms - w.poll_sent_at_ms >=
               (unlisted ? unlisted_poll_retry_delay_ms : failed_poll_retry_delay_ms);
    }
    if (!w.verified || w.unheard_polls > 0) {
        return true;
    }
    if (w.applied_sequence > w.stored_sequence) {
        return now_ms - w.poll_sent_at_ms >=
               (w.report.draining ? unstored_ends_draining_interval_ms : unstored_ends_interval_ms);
    }
    const bool busy = !w.assigned.empty() || !w.orphaned_runs.empty();
    return busy || now_ms - w.answered_at_ms >= idle_interval;
}

/** Returns whether an order for the task has been unanswered, or without effect, for too long. */
bool order_overdue(const task& t, const settings& limits, time_ms now_ms) {
    if (t.phase == task_phase::stopping && t.stop_confirmed_at_ms != 0) {
        return now_ms - t.ordered_at_ms >= limits.stop_timeout_ms + confirmed_stop_margin_ms;
    }
    if (t.phase == task_phase::ordered && may_still_be_sent(t, now_ms)) {
        return false;
    }
    return (t.phase == task_phase::stopping || t.phase == task_phase::ordered) &&
           now_ms - t.ordered_at_ms >= order_resend_interval_ms;
}

void resend_unanswered_orders(reduce_context& ctx, worker& w) {
    const time_ms now = ctx.now.monotonic_ms;
    std::vector<task_id> unanswered;
    for (const auto& id : w.assigned) {
        const task_ref ref = find_task(ctx.state, id);
        if (ref && order_overdue(*ref.item, ctx.state.limits, now)) {
            unanswered.push_back(id);
        }
    }
    if (unanswered.empty()) {
        return;
    }
    const bool may_start = w.failed_polls == 0 && takes_starts(ctx.state, w) &&
                           has_current_view(ctx.state, now) && !is_overbooked(ctx.state, w);
    for (const auto& id : unanswered) {
        const task_ref ref = find_task(ctx.state, id);
        if (ref.item->phase == task_phase::stopping) {
            stop_task(ctx, id, ref, "repeat");
        } else if (may_start && ref.item->order_attempts < max_start_attempts) {
            order_start(ctx, id, ref);
        }
    }
}

/**
 * Returns whether the worker hasn't answered a poll that was sent since the leader was last late.
 * The answers to earlier ones may be waiting.
 */
bool is_silent(const coordinator_state& state, const worker& w) {
    return w.failed_polls > 0 && (w.failed_poll_sent_at_ms >= state.handled_late_at_ms ||
                                  w.unheard_polls >= max_unheard_polls);
}

/**
 * Releases the assignments of an unreachable worker once it has left or its lease must have
 * expired. An answer that is on its way may tell how the runs ended. That it is missing from the
 * registry doesn't show that its runs have ended: it may still work, because only its connection to
 * the store is cut.
 */
void release_after_lease_expiry(reduce_context& ctx, worker& w) {
    const bool may_answer = !is_silent(ctx.state, w) && !w.report.address.empty();
    const bool left = w.has_left && w.failed_polls > 0;
    const bool expired = left || ctx.now.monotonic_ms >= w.lease_expiry_bound_ms;
    if (may_answer || w.assigned.empty() || !expired) {
        return;
    }
    log_decision(ctx, "worker_lost",
                 "worker=" + w.report.incarnation.id +
                     " failed_polls=" + std::to_string(w.failed_polls) +
                     " reason=" + (left ? "left" : "lease_expired"));
    w.verified = false;
    if (!left) {
        remember_lost_runs(ctx, w);
    }
    ctx.state.capacities.mark_stale(w.report.incarnation.id);
    release_all(ctx, w, left ? "worker_left" : "lease_expired");
}

} // namespace

void maintain_workers(reduce_context& ctx) {
    const time_ms now = ctx.now.monotonic_ms;
    const time_ms idle_interval = idle_interval_ms(ctx.state.workers.size());
    const auto maintain = [&](worker& w) {
        release_after_lease_expiry(ctx, w);
        expire_lost_runs(ctx, w);
        if (poll_due(w, now, idle_interval)) {
            poll(ctx, w);
        }
        const bool gone = !w.listed && w.assigned.empty() && w.orphaned_runs.empty() &&
                          w.lost_runs.empty() && !w.poll_outstanding;
        if (gone) {
            ctx.state.capacities.mark_stale(w.report.incarnation.id);
        }
        return gone;
    };
    const auto inspect = [&](worker& w) {
        supervise_runs(ctx, w);
        resend_unanswered_orders(ctx, w);
        return false;
    };
    continue_pass(ctx.state, ctx.state.inspection, now, inspection_interval_ms, inspect);
    continue_pass(ctx.state, ctx.state.maintenance, now, 0, maintain);
}

} // namespace fulmarworks::scheduler
