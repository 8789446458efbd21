#include "run_supervision.h"

#include "expected_run.h"
#include "failure_avoidance.h"
#include "stall_evidence.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

constexpr int complete_percent = 100;
/**
 * Covers the time that a leaving worker often stays beyond its announced end, and the error of the
 * estimate.
 */
constexpr time_ms evacuation_margin_ms = 500;
/** Time for which a worker gets no new tasks after a task stalled on it. */
constexpr time_ms stall_quarantine_ms = 6000;

bool is_supervised(const task_ref& ref) {
    return ref && ref.item->phase == task_phase::running && !ref.spec->long_running;
}

/**
 * Returns the ids of the running tasks that `choose` selects. The result is a copy, so callers may
 * change the assignments while they iterate.
 */
template <class Choose>
std::vector<task_id> pick_running(reduce_context& ctx, const worker& w, const Choose& choose) {
    std::vector<task_id> picked;
    for (const auto& id : w.assigned) {
        const task_ref ref = find_task(ctx.state, id);
        if (is_supervised(ref) && choose(ref)) {
            picked.push_back(id);
        }
    }
    return picked;
}

/** Returns the time from one percent to the next: that of the run so far, or else as estimated. */
time_ms expected_percent_ms(const task_ref& ref) {
    const task& t = *ref.item;
    if (t.percent > 0 && t.observed_from_start) {
        return (t.progressed_at_ms - t.started_at_ms) / t.percent;
    }
    return ref.spec->estimate_ms / complete_percent;
}

/** Only answered polls show that the progress is unchanged: a worker that isn't polled for some
 * time must not be taken for a stalled one. */
progress_observation observe_progress(const worker& w, const task_ref& ref) {
    const task& t = *ref.item;
    progress_observation o{t.percent, w.answered_at_ms - t.progressed_at_ms};
    o.percent_ms = expected_percent_ms(ref);
    // A gang stalls as a whole, but only one of its members may have been taken for stalled.
    const auto& tasks = ref.progress->tasks;
    const bool stopped_before =
        ref.spec->gang ? std::any_of(tasks.begin(), tasks.end(),
                                     [](const task& other) { return !other.failed_on.empty(); })
                       : !t.failed_on.empty();
    o.earlier_starts = stopped_before && t.run > 0 ? t.run - 1 : 0;
    return o;
}

/** Returns the stalled runs of a worker that answers its polls. */
std::vector<task_id> find_stalled_runs(reduce_context& ctx, const worker& w) {
    const auto is_stalled = [&](const task_ref& ref, bool worker_has_stalled_run) {
        progress_observation o = observe_progress(w, ref);
        o.worker_has_stalled_run = worker_has_stalled_run;
        if (judge_progress(o) == progress_verdict::advancing) {
            return false;
        }
        o.usual_overrun_ms = usual_overrun_ms(ctx.state, ref, ctx.now.monotonic_ms);
        return judge_progress(o) == progress_verdict::stalled;
    };
    const bool stalled_below_complete =
        !pick_running(ctx, w, [&](const task_ref& ref) {
             return ref.item->percent < complete_percent && is_stalled(ref, false);
         }).empty();
    return pick_running(
        ctx, w, [&](const task_ref& ref) { return is_stalled(ref, stalled_below_complete); });
}

/**
 * Stops stalled tasks, so that they start on another worker.
 *
 * Handles workers that accept tasks and keep their lease but make no progress.
 */
void stop_stalled_tasks(reduce_context& ctx, worker& w) {
    if (w.failed_polls > 0) {
        return;
    }
    const std::string& id = w.report.incarnation.id;
    for (const auto& name : find_stalled_runs(ctx, w)) {
        const task_ref ref = find_task(ctx.state, name);
        if (ref.item->phase != task_phase::running) {
            continue; // stopped together with its gang
        }
        log_decision(ctx, "task_stalled",
                     describe_task(name, ref.item->run) + " worker=" + id +
                         " percent=" + std::to_string(ref.item->percent) + " still_for_ms=" +
                         std::to_string(w.answered_at_ms - ref.item->progressed_at_ms));
        note_failed_run(*ref.item, ctx.now.monotonic_ms);
        quarantine_worker(ctx, w, stall_quarantine_ms);
        stop_task(ctx, name, ref, "stalled");
    }
}

/**
 * Stops tasks that can't finish before their worker leaves.
 *
 * Handles workers that are drained and removed during long tasks. Such a task is lost in any case;
 * stopping it early lets it restart sooner elsewhere.
 */
void evacuate_leaving_worker(reduce_context& ctx, const worker& w) {
    if (!w.report.draining || !w.listed) {
        return;
    }
    const time_ms left = w.leaves_at_ms - ctx.now.monotonic_ms;
    const auto unfinishable = pick_running(ctx, w, [&](const task_ref& ref) {
        const auto remaining = expected_remaining_ms(ctx.state, ref, ctx.now.monotonic_ms);
        return remaining && *remaining > left + evacuation_margin_ms;
    });
    for (const auto& name : unfinishable) {
        const task_ref ref = find_task(ctx.state, name);
        if (ref.item->phase == task_phase::running) {
            stop_task(ctx, name, ref, "worker_leaves");
        }
    }
}

} // namespace

void supervise_runs(reduce_context& ctx, worker& w) {
    stop_stalled_tasks(ctx, w);
    evacuate_leaving_worker(ctx, w);
}

} // namespace fulmarworks::scheduler
