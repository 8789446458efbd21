#pragma once

#include "planning_step.h"

namespace fulmarworks {

/** Reserves the hosts that are expected to be free soonest for a large job that doesn't fit. */
void reserve_for(planning_step& p, const job& j);

/**
 * Returns the hosts that a job must not use because of earlier reservations, in ascending order.
 * Urgent jobs are short and ignore reservations.
 */
[[nodiscard]] std::vector<host_index> reserved_hosts(const planning_step& p, const job& j);

/** Removes the reservations of jobs that are no longer queued. */
void expire_reservations(planning_step& p);

} // namespace fulmarworks
