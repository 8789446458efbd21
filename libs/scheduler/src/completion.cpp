#include "completion.h"

namespace fulmarworks::scheduler {

namespace {

void mark_complete(const task_ref& ref) {
    ref.item->phase = task_phase::complete;
    ref.item->checkpoint.clear();
    ++ref.progress->complete_count;
    if (ref.progress->complete()) {
        ref.progress->rates = {};
    }
}

/** Records a run whose end the worker has not listed yet. */
void track_ending_run(reduce_context& ctx, const task_id& id, const task_ref& ref) {
    if (worker* w = find_worker(ctx.state, ref.item->where.id)) {
        w->orphaned_runs.push_back(
            {id, ref.item->run, booked_resources(*ref.spec), ctx.now.monotonic_ms, true});
        ctx.state.capacities.mark_stale(w->report.incarnation.id);
    }
}

/** Returns whether the task has begun another run since the one that ended. */
bool has_newer_run(const task& t, std::uint32_t ended) {
    return is_assigned(t.phase) && t.run > ended;
}

void complete_task(reduce_context& ctx, const task_id& id, const task_ref& ref,
                   const ended_run& end) {
    if (ref.item->phase == task_phase::complete) {
        return;
    }
    if (has_newer_run(*ref.item, end.run)) {
        stop_task(ctx, id, ref, "earlier_run_done");
        return;
    }
    if (id != end.task && is_assigned(ref.item->phase)) {
        track_ending_run(ctx, id, ref);
    }
    release_capacity(ctx, id, *ref.item);
    mark_complete(ref);
}

} // namespace

void release_capacity(reduce_context& ctx, const task_id& id, task& t) {
    if (worker* w = find_worker(ctx.state, t.where.id)) {
        w->assigned.erase(id);
        ctx.state.capacities.mark_stale(t.where.id);
    }
    t.where = {};
    t.order_attempts = 0;
    t.stop_confirmed_at_ms = 0;
    ctx.state.plan_needed = true;
}

void leave_run(reduce_context& ctx, const task_ref& ref) {
    if (ref.item->completed_earlier) {
        mark_complete(ref);
        return;
    }
    ref.item->phase = task_phase::idle;
    // The policy may have changed during the run. Then it was the last one that may start.
    ref.owner->failed = ref.owner->failed || attempts_exhausted(ref);
    mark_waiting(ctx.state, *ref.owner);
}

void complete_run(reduce_context& ctx, const task_ref& ref, const ended_run& end) {
    const auto first = ref.spec->gang ? 0 : end.task.index;
    const auto count = ref.spec->gang ? ref.progress->tasks.size() : 1;
    const auto member_at = [&](std::size_t i) {
        return task_ref{ref.owner, ref.parent, ref.progress, ref.spec,
                        &ref.progress->tasks[first + i]};
    };
    // The first of them that is stopped stops the others as well, so all have to be known as done.
    for (std::size_t i = 0; i < count; ++i) {
        task& member = *member_at(i).item;
        member.completed_earlier = has_newer_run(member, end.run);
    }
    for (std::size_t i = 0; i < count; ++i) {
        task_id id = end.task;
        id.index = static_cast<std::uint32_t>(first + i);
        complete_task(ctx, id, member_at(i), end);
    }
}

} // namespace fulmarworks::scheduler
