#pragma once

#include "capacity.h"
#include "task_groups.h"

#include <optional>
#include <span>
#include <unordered_map>

namespace fulmarworks::scheduler {

/** A run, or a whole gang, that can be stopped. */
struct victim {
    std::vector<task_id> members;
    /** Resources that it frees on the worker for which it is listed. */
    resources freed_resources;
    double cost = 0;
    /** Whether the run is expected to end within the time that stopping it takes. */
    bool ends_soon = false;
};

/** What a selection does with runs that are expected to end soon. */
enum class ending_run_use {
    awaited, // their capacity counts as free
    spared,  // they are neither stopped nor awaited
    stopped, // they may be stopped like any other
};

/** Runs that may be stopped for tasks of one priority; computed for each worker on first use. */
struct victim_table {
    int priority = 0;
    time_ms now_ms = 0;
    /** Sorted by ascending cost. */
    std::unordered_map<worker_index, std::vector<victim>> by_worker;
    /** Runs that the plan stops already. */
    std::set<task_id> stopped;
};

/** Running tasks to stop so that a group can be placed. */
struct victim_selection {
    std::vector<task_id> victims;
    /** Workers for the tasks of the group. */
    std::vector<worker_index> chosen;
    /** Capacity that the group takes and that the victims free. */
    std::vector<capacity_change> changes;
    /** Lost work in accelerator-milliseconds. */
    double cost = 0;
};

/**
 * Finds capacity for all tasks of an urgent group by stopping less important runs that lose the
 * least work since their last checkpoint: in the rack of `racks` where that costs least, otherwise
 * in any rack if `anywhere`. Returns nothing if that is impossible. Leaves the capacities
 * unchanged.
 *
 * Handles urgent gangs that arrive while long jobs occupy all accelerators.
 */
[[nodiscard]] std::optional<victim_selection>
select_victims(coordinator_state& state, std::span<const search_scope> racks, bool anywhere,
               victim_table& table, const task_group& group, const task_group_request& request,
               ending_run_use ending_runs);

/** Books a selection and excludes its victims from later selections. */
void commit_selection(capacity_index& capacities, victim_table& table,
                      const victim_selection& selection);

} // namespace fulmarworks::scheduler
