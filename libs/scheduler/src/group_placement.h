#pragma once

#include "capacity.h"
#include "task_groups.h"

#include <optional>
#include <span>
#include <vector>

namespace fulmarworks::scheduler {

/**
 * Returns the preferred racks of the group, those with the fewest free accelerators first: the rack
 * of its data if the job's pool has workers there, or any single rack for a gang that should not
 * span several.
 */
[[nodiscard]] std::vector<search_scope> preferred_racks(const capacity_index& capacities,
                                                        const task_group& group);

/** Books a worker for each task of the group, on workers of `request.speeds`; nothing if they don't
 * all fit. */
[[nodiscard]] std::optional<std::vector<worker_index>>
book_whole_group(capacity_index& capacities, const task_group& group, search_scope scope,
                 task_group_request& request, capacity_kind kind);

/**
 * Returns the rack in which the whole gang leaves the fewest accelerators free on the chosen
 * workers; `all_racks` if it fits in none.
 */
[[nodiscard]] search_scope find_best_rack(capacity_index& capacities, const task_group& group,
                                          std::span<const search_scope> racks,
                                          task_group_request& request, capacity_kind kind);

} // namespace fulmarworks::scheduler
