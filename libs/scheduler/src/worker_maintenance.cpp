#include "run_supervision.h"
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
/**
 * A lease may last longer than granted by this fraction, because a worker's clock may be 2% slow.
 */
constexpr time_ms clock_tolerance_divisor = 40;
/** Delay after a failed poll, which limits the load on an unreachable worker. */
constexpr time_ms failed_poll_retry_delay_ms = 300;
/**
 * Lease that a poll grants: longer than a change of leader with a restart of all hosts, and shorter
 * than the time that callers wait until the work of a lost worker moves.
 */
constexpr time_ms granted_lease_ms = 4000;
/**
 * Upper bound of the remaining lease when the entry of an unresponsive worker is removed: the
 * registry waits for three heartbeats of 1.5 s, one of which may have passed before the worker was
 * cut off.
 */
constexpr time_ms unlisted_lease_remainder_ms = 1300;
/** Subtracted from the longest lease to allow for the network delay of the request. */
constexpr time_ms lease_margin_ms = 100;
/** Interval between checks for stalled runs and unanswered orders. */
constexpr time_ms inspection_interval_ms = 100;
/** Number of times that a start is sent; after that, the poll answers of the worker decide. */
constexpr std::uint32_t max_start_attempts = 3;

void poll(reduce_context& ctx, worker& w) {
    const time_ms now = ctx.now.monotonic_ms;
    const bool busy = !w.assigned.empty() || !w.orphaned_runs.empty();
    // The lease of a worker that does not answer is not extended, so that its work can move to
    // other workers.
    const bool renew = busy && w.clock_reference_ms != 0 && w.failed_polls == 0;
    time_ms lease_end = 0;
    if (renew) {
        lease_end = worker_clock(w, now) +
                    std::min(granted_lease_ms, ctx.state.limits.max_lease_ms) - lease_margin_ms;
        grant_lease(w, lease_end);
    }
    const bool may_wait = w.verified && w.failed_polls == 0 && busy;
    w.poll_outstanding = true;
    w.poll_sent_at_ms = now;
    ctx.out.emplace_back(send_poll{w.report.incarnation, w.report.address, lease_end,
                                   w.stored_sequence, may_wait ? busy_poll_wait_ms : 0});
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
        return now_ms - w.poll_sent_at_ms >= failed_poll_retry_delay_ms;
    }
    if (!w.verified) {
        return true;
    }
    if (w.applied_sequence > w.stored_sequence) {
        return false; // polled again once the effect of the ended runs is stored
    }
    const bool busy = !w.assigned.empty() || !w.orphaned_runs.empty();
    return busy || now_ms - w.answered_at_ms >= idle_interval;
}

void resend_unanswered_orders(reduce_context& ctx, worker& w) {
    const time_ms now = ctx.now.monotonic_ms;
    std::vector<task_id> unanswered;
    for (const auto& id : w.assigned) {
        const task_ref ref = find_task(ctx.state, id);
        if (ref && now - ref.item->ordered_at_ms >= order_resend_interval_ms &&
            (ref.item->phase == task_phase::stopping || ref.item->phase == task_phase::ordered)) {
            unanswered.push_back(id);
        }
    }
    for (const auto& id : unanswered) {
        const task_ref ref = find_task(ctx.state, id);
        if (ref.item->phase == task_phase::stopping) {
            stop_task(ctx, id, ref, "repeat");
        } else if (w.failed_polls == 0 && ref.item->order_attempts < max_start_attempts) {
            order_start(ctx, id, ref);
        }
    }
}

/**
 * Returns whether an unreachable worker has terminated. A draining worker that left the registry
 * has terminated. Any other is removed from the registry after three missed heartbeats; nothing
 * renewed its lease since then, so it expires soon after the removal.
 */
bool has_terminated(const worker& w, time_ms now_ms) {
    const bool unreachable = w.failed_polls > 0 || w.report.address.empty();
    if (w.listed || !unreachable) {
        return false;
    }
    return w.report.draining || now_ms - w.unlisted_since_ms >= unlisted_lease_remainder_ms;
}

/** Releases the assignments of an unreachable worker once its lease must have expired. */
void release_after_lease_expiry(reduce_context& ctx, worker& w) {
    const bool reachable = w.verified && w.failed_polls == 0;
    const bool expired =
        ctx.now.monotonic_ms >= w.lease_expiry_bound_ms || has_terminated(w, ctx.now.monotonic_ms);
    if (reachable || w.assigned.empty() || !expired) {
        return;
    }
    log_decision(ctx, "worker_lost",
                 "worker=" + w.report.incarnation.id +
                     " failed_polls=" + std::to_string(w.failed_polls));
    w.verified = false;
    ctx.state.capacities.mark_stale(w.report.incarnation.id);
    release_all(ctx, w, "lease_expired");
}

} // namespace

time_ms longest_lease_end(const settings& limits, time_ms granted_until_ms) {
    return longest_grant_end(granted_until_ms, std::min(granted_lease_ms, limits.max_lease_ms));
}

time_ms longest_grant_end(time_ms granted_at_ms, time_ms lease_ms) {
    return granted_at_ms + lease_ms + lease_ms / clock_tolerance_divisor + lease_margin_ms;
}

void maintain_workers(reduce_context& ctx) {
    const time_ms now = ctx.now.monotonic_ms;
    const time_ms idle_interval = idle_interval_ms(ctx.state.workers.size());
    const auto maintain = [&](worker& w) {
        release_after_lease_expiry(ctx, w);
        if (poll_due(w, now, idle_interval)) {
            poll(ctx, w);
        }
        const bool gone =
            !w.listed && w.assigned.empty() && w.orphaned_runs.empty() && !w.poll_outstanding;
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
