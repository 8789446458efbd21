#pragma once

#include "rooms.h"
#include "work_units.h"

namespace fulmarworks::scheduler {

/** Which running tasks to stop so that a unit finds room. */
struct preemption_choice {
    std::vector<task_id> victims;
    /** Rooms that the unit's tasks will take, as indices. */
    std::vector<std::size_t> chosen;
    /** Accelerator-milliseconds of work that is thrown away. */
    double cost = 0;
};

/**
 * Finds room for all tasks of an urgent unit by stopping less important work, where the least work
 * is lost since its last checkpoint. The room that the unit will take is booked in `rooms`. Returns
 * no victims if the unit can't be helped.
 *
 * Load it answers: urgent gangs that arrive while long jobs hold every accelerator.
 */
[[nodiscard]] preemption_choice choose_victims(coordinator_state& state,
                                               std::vector<worker_room>& rooms,
                                               const work_unit& unit,
                                               const placement_request& request, time_ms now_ms);

} // namespace fulmarworks::scheduler
