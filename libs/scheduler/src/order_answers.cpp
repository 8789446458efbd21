#include "current_run.h"
#include "worker_sync.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

/**
 * A worker that refuses a start, for lack of capacity or health, gets no new tasks for this long.
 */
constexpr time_ms refusal_quarantine_ms = 500;

/** Returns whether no host holds the order any more: the worker refused it, or it was given up. */
bool is_settled(order_failure failure) {
    return failure != order_failure::no_answer && failure != order_failure::other_incarnation;
}

} // namespace

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
    if (answer.send_until_ms == t.start_sent_until_ms && is_settled(answer.failure)) {
        t.start_sent_until_ms = 0;
    }
    switch (answer.failure) {
    case order_failure::fenced: ctx.out.emplace_back(leadership_lost{}); return;
    case order_failure::expired:
        // An earlier order may have been carried out; then the next complete list shows the
        // outcome.
        if (sole_order) {
            release_task(ctx, answer.task, ref, "start_expired");
        }
        return;
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
    case order_failure::not_sent:
        // It is sent again like an unanswered order, and doesn't count as an attempt.
        t.order_attempts -= std::min(t.order_attempts, 1U);
        return;
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
