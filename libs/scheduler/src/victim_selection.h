#pragma once

#include "capacity.h"
#include "task_groups.h"

#include <optional>
#include <unordered_map>

namespace fulmarworks::scheduler {

/** A run, or a whole gang, that can be stopped. */
struct victim {
    std::vector<task_id> members;
    /** Room that it gives back on the worker it was found on. */
    resources freed_resources;
    double cost = 0;
};

/** What may be stopped in favour of one priority, worked out for a room when it is first asked. */
struct victim_table {
    int priority = 0;
    time_ms now_ms = 0;
    /** Cheapest first. */
    std::unordered_map<worker_index, std::vector<victim>> by_worker;
    /** Runs that are being stopped already. */
    std::set<task_id> stopped;
};

/** Which running tasks to stop so that a unit finds room. */
struct victim_selection {
    std::vector<task_id> victims;
    /** Rooms that the unit's tasks will take. */
    std::vector<worker_index> chosen;
    /** What the unit takes and what the victims give. */
    std::vector<capacity_change> changes;
    /** Accelerator-milliseconds of work that is thrown away. */
    double cost = 0;
};

/**
 * Finds room for all tasks of an urgent unit in one group of workers by stopping less important
 * work, where the least work is lost since its last checkpoint. Returns nothing if that is
 * impossible. Leaves the rooms as they were.
 *
 * Load it answers: urgent gangs that arrive while long jobs hold every accelerator.
 */
[[nodiscard]] std::optional<victim_selection>
select_victims(coordinator_state& state, search_scope scope, victim_table& table,
               const task_group& group, const task_group_request& request);

/** Books a choice: its victims can't be chosen again. */
void commit_selection(capacity_index& capacities, victim_table& table,
                      const victim_selection& selection);

} // namespace fulmarworks::scheduler
