#pragma once

#include "planning_step.h"

namespace fulmarworks {

/**
 * Frees hosts for the largest guaranteed shape if fragmentation weighs more than completion time:
 * moves checkpointable jobs away from the hosts of one rack that are cheapest to empty, provided
 * that the jobs fit elsewhere and fragmentation decreases.
 */
void defragment(planning_step& p);

/** Returns whether the job should not be placed on the hosts that are being drained. */
[[nodiscard]] bool avoids_draining_hosts(const planning_step& p, const job& j);

} // namespace fulmarworks
