#include "expected_ends.h"

#include "expected_run.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

constexpr int complete_percent = 100;
/** Time for storing, polling and the orders when runs are stopped and others start. */
constexpr time_ms stop_overhead_ms = 600;
/**
 * A run that has not ended this long after its expected end is not expected to end soon: it may run
 * many times longer. Covers the error of a progress in whole percent and a late poll.
 */
constexpr time_ms overdue_limit_ms = 500;
/** Time until the next plan and the start after it. */
constexpr time_ms replan_margin_ms = 350;

/** Returns whether the run of one task is expected to end within `horizon_ms`. */
bool is_about_to_end(const task& t, time_ms horizon_ms, time_ms now_ms) {
    if (t.phase != task_phase::running || !t.observed_from_start || t.percent <= 0 ||
        t.percent >= complete_percent) {
        return false;
    }
    const time_ms run_for = t.progressed_at_ms - t.started_at_ms;
    const time_ms end_at =
        t.progressed_at_ms + run_for * (complete_percent - t.percent) / t.percent;
    return end_at - now_ms <= horizon_ms && now_ms - end_at <= overdue_limit_ms;
}

/** As above; a gang ends when its last member is done. */
bool is_about_to_end(const task_ref& ref, time_ms horizon_ms, time_ms now_ms) {
    if (ref.spec->long_running || !is_about_to_end(*ref.item, horizon_ms, now_ms)) {
        return false;
    }
    return !ref.spec->gang ||
           std::all_of(ref.progress->tasks.begin(), ref.progress->tasks.end(),
                       [&](const task& t) { return is_about_to_end(t, horizon_ms, now_ms); });
}

} // namespace

time_ms stop_and_restart_ms(const settings& limits) {
    return limits.stop_timeout_ms + stop_overhead_ms;
}

void update_expected_ends(reduce_context& ctx, worker& w) {
    if (!ctx.state.limits.learned_run_times) {
        return;
    }
    const time_ms horizon = stop_and_restart_ms(ctx.state.limits);
    for (const auto& id : w.assigned) {
        const task_ref ref = find_task(ctx.state, id);
        if (!ref) {
            continue;
        }
        const bool ends_soon = is_about_to_end(ref, horizon, ctx.now.monotonic_ms);
        if (ends_soon != ref.item->ends_soon) {
            ref.item->ends_soon = ends_soon;
            ctx.state.capacities.mark_stale(w.report.incarnation.id);
        }
    }
}

bool may_rely_on_ends(const settings& limits, const task_group& group, time_ms now_ms) {
    if (!limits.learned_run_times) {
        return false;
    }
    const time_ms stop_ms = stop_and_restart_ms(limits);
    const time_ms latest = group.urgency_class == urgency::guaranteed
                               ? limits.reclaim_ms - stop_ms - replan_margin_ms
                               : stop_ms;
    return now_ms - group.ready_at_ms < std::min(stop_ms, latest);
}

} // namespace fulmarworks::scheduler
