#include "overbooking.h"

namespace fulmarworks::scheduler {

bool is_overbooked(coordinator_state& state, const worker& w) {
    resources used;
    for (const auto& id : w.assigned) {
        if (const task_ref ref = find_task(state, id)) {
            used += booked_resources(*ref.spec);
        }
    }
    for (const auto& orphan : w.orphaned_runs) {
        used += orphan.need;
    }
    return !fits(used, w.report.capacity);
}

void release_excess_placements(reduce_context& ctx, worker& w) {
    const auto assigned = w.assigned;
    for (auto id = assigned.rbegin(); id != assigned.rend() && is_overbooked(ctx.state, w); ++id) {
        const task_ref ref = find_task(ctx.state, *id);
        if (ref && ref.item->phase == task_phase::placed) {
            release_task(ctx, *id, ref, "capacity_shrank");
        }
    }
}

} // namespace fulmarworks::scheduler
