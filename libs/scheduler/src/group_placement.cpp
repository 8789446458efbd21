#include "group_placement.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

/**
 * Maximum number of racks that are compared for one gang: more than current deployments have, and
 * few enough for a decision within a millisecond at the target size.
 */
constexpr std::size_t max_racks_compared = 50;

bool prefers_single_rack(const step_spec& spec) {
    return spec.gang && spec.same_rack && spec.task_count > 1;
}

/** Returns the accelerators that stay free on the chosen workers; lower is better. */
std::int64_t remaining_free_accelerators(const capacity_index& capacities,
                                         std::span<const worker_index> chosen) {
    std::int64_t total = 0;
    for (const worker_index index : chosen) {
        total += capacities.at(index).free.accelerators;
    }
    return total;
}

bool has_worker_of_pool(const capacity_index& capacities, const rack_capacity& rack,
                        const std::string& pool) {
    return std::any_of(rack.workers.begin(), rack.workers.end(), [&](worker_index index) {
        return capacities.at(index).host->report.pool == pool;
    });
}

} // namespace

std::vector<search_scope> preferred_racks(const capacity_index& capacities,
                                          const task_group& group) {
    std::vector<search_scope> racks;
    const std::string& data_rack = group.spec().data_rack;
    if (!data_rack.empty()) {
        const rack_capacity* rack = capacities.rack(data_rack);
        if (rack != nullptr && has_worker_of_pool(capacities, *rack, group.owner->policy.pool)) {
            racks.push_back(rack);
        }
    } else if (prefers_single_rack(group.spec())) {
        for (const auto& [key, rack] : capacities.racks()) {
            racks.push_back(rack);
        }
    }
    return racks;
}

std::optional<std::vector<worker_index>>
book_whole_group(capacity_index& capacities, const task_group& group, search_scope scope,
                 task_group_request& request, capacity_kind kind) {
    const std::size_t count = group.tasks.size();
    if (!may_fit(capacities, scope, request, count, kind)) {
        return std::nullopt;
    }
    auto chosen = book_best_fit(capacities, scope, request, count, kind);
    if (chosen.size() < count) {
        unbook(capacities, request, chosen);
        return std::nullopt;
    }
    return chosen;
}

search_scope find_best_rack(capacity_index& capacities, const task_group& group,
                            std::span<const search_scope> racks, task_group_request& request,
                            capacity_kind kind) {
    search_scope best_rack = all_racks;
    std::int64_t best_left = 0;
    std::size_t tried = 0;
    for (const search_scope rack : racks) {
        const auto chosen = book_whole_group(capacities, group, rack, request, kind);
        if (!chosen) {
            continue;
        }
        const std::int64_t left = remaining_free_accelerators(capacities, *chosen);
        unbook(capacities, request, *chosen);
        if (best_rack == all_racks || left < best_left) {
            best_rack = rack;
            best_left = left;
        }
        if (++tried == max_racks_compared) {
            break;
        }
    }
    return best_rack;
}

} // namespace fulmarworks::scheduler
