#include "scheduler/plan_pacing.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

/** Number of task groups for which a plan is followed by a pause of one millisecond: about ten
 * times the processor time that they take. */
constexpr std::size_t groups_per_pause_ms = 25;
/** Longest pauses; with a larger backlog, plans take a larger share of the processor. */
constexpr time_ms max_pause_ms = 1000;
constexpr time_ms max_urgent_pause_ms = 250;

time_ms pause_after(std::size_t groups) {
    return static_cast<time_ms>(groups / groups_per_pause_ms);
}

} // namespace

plan_scope due_plan(const plan_pacing& pacing, bool changed, bool urgent_waiting, time_ms now_ms) {
    if ((changed || pacing.all_needed) && now_ms >= pacing.all_due_ms) {
        return plan_scope::all;
    }
    return changed && urgent_waiting && now_ms >= pacing.urgent_due_ms ? plan_scope::urgent
                                                                       : plan_scope::none;
}

void note_plan(plan_pacing& pacing, plan_scope scope, std::size_t groups, time_ms now_ms) {
    pacing.groups_considered += groups;
    const time_ms pause = pause_after(groups);
    if (scope == plan_scope::all) {
        pacing.all_needed = false;
        pacing.all_due_ms = now_ms + std::min(pause, max_pause_ms);
    } else {
        pacing.all_needed = true;
        pacing.urgent_due_ms = now_ms + std::min(pause, max_urgent_pause_ms);
    }
}

} // namespace fulmarworks::scheduler
