#pragma once

#include "rooms.h"
#include "work_units.h"

namespace fulmarworks::scheduler {

/** A run, or a whole gang, that can be stopped. */
struct victim {
    std::vector<task_id> members;
    double cost = 0;
};

/** Victims by room, cheapest first. */
using victim_table = std::vector<std::vector<victim>>;

/** Which running tasks to stop so that a unit finds room. */
struct preemption_choice {
    std::vector<task_id> victims;
    /** Rooms that the unit's tasks will take, as indices. */
    std::vector<std::size_t> chosen;
    /** All rooms, with what the unit takes and what the victims give booked. */
    std::vector<worker_room> rooms;
    /** Accelerator-milliseconds of work that is thrown away. */
    double cost = 0;
};

/** Returns what may be stopped in favour of work of `priority`. */
[[nodiscard]] victim_table collect_victims(coordinator_state& state,
                                           std::span<const worker_room> rooms, int priority,
                                           time_ms now_ms);

/** Takes runs that are being stopped out of the table. */
void remove_victims(victim_table& table, std::span<const task_id> stopped);

/**
 * Finds room for all tasks of an urgent unit in one group of workers by stopping less important
 * work, where the least work is lost since its last checkpoint. Returns no victims if that is
 * impossible.
 *
 * Load it answers: urgent gangs that arrive while long jobs hold every accelerator.
 */
[[nodiscard]] preemption_choice choose_victims(coordinator_state& state,
                                               std::span<const worker_room> rooms,
                                               const rack_rooms& among, const victim_table& table,
                                               const work_unit& unit,
                                               const placement_request& request);

} // namespace fulmarworks::scheduler
