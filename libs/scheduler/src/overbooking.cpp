#include "overbooking.h"

namespace fulmarworks::scheduler {

namespace {

resources used_resources(coordinator_state& state, const worker& w) {
    resources used;
    for (const auto& id : w.assigned) {
        if (const task_ref ref = find_task(state, id)) {
            used += booked_resources(*ref.spec);
        }
    }
    for (const auto& orphan : w.orphaned_runs) {
        used += orphan.need;
    }
    return used;
}

} // namespace

bool is_overbooked(coordinator_state& state, const worker& w) {
    return !fits(used_resources(state, w), w.report.capacity);
}

void release_excess_placements(reduce_context& ctx, worker& w) {
    resources used = used_resources(ctx.state, w);
    if (fits(used, w.report.capacity)) {
        return;
    }
    const auto assigned = w.assigned;
    for (auto id = assigned.rbegin(); id != assigned.rend() && !fits(used, w.report.capacity);
         ++id) {
        const task_ref ref = find_task(ctx.state, *id);
        if (ref && ref.item->phase == task_phase::placed) {
            used -= booked_resources(*ref.spec);
            release_task(ctx, *id, ref, "capacity_shrank");
        }
    }
}

} // namespace fulmarworks::scheduler
