#include "gang_reservation.h"

#include "lookup.h"

namespace fulmarworks::scheduler {

namespace {

/**
 * A reservation lasts for the stop timeout plus this margin, which covers the network delay of the
 * order, a poll, and the batch that stores the end.
 */
constexpr time_ms reservation_margin_ms = 1100;

} // namespace

void reserve_capacity(const coordinator_state& state, const task_group& group,
                      std::span<const worker_index> chosen, time_ms now_ms) {
    step_progress& progress = group.parent->steps[group.step];
    progress.reserved_on.clear();
    for (const worker_index index : chosen) {
        progress.reserved_on.push_back(state.capacities.at(index).id);
    }
    progress.reserved_until_ms = now_ms + state.limits.stop_timeout_ms + reservation_margin_ms;
}

std::optional<std::vector<worker_index>>
claim_reservation(coordinator_state& state, const task_group& group, task_group_request& request,
                  capacity_kind kind, time_ms now_ms, bool& waiting) {
    step_progress& progress = group.parent->steps[group.step];
    waiting = false;
    const resources need = booked_resources(group.spec());
    std::vector<worker_index> chosen;
    bool free = true;
    for (const auto& id : progress.reserved_on) {
        const worker_index* found = state.capacities.find(id);
        if (found == nullptr || !eligible(state.capacities.at(*found), request) ||
            !fits(need, available_in(state.capacities.at(*found), kind))) {
            break;
        }
        free = free && fits(need, state.capacities.at(*found).free);
        book(state.capacities, request, *found);
        chosen.push_back(*found);
    }
    if (chosen.size() != group.tasks.size() || now_ms > progress.reserved_until_ms) {
        unbook(state.capacities, request, chosen);
        progress.reserved_on.clear();
        return std::nullopt;
    }
    waiting = !free;
    if (waiting) {
        return std::nullopt;
    }
    progress.reserved_on.clear();
    return chosen;
}

} // namespace fulmarworks::scheduler
