#pragma once

#include "planning.h"

namespace fulmarworks {

/** Keeps hosts for a large job that found no place, from the date at which they will be free. */
void reserve_for(planning& p, const job& j);

/**
 * Returns the hosts that a job must leave to earlier reservations, in ascending order. Urgent work
 * is short and gives way to none.
 */
[[nodiscard]] std::vector<host_index> reserved_hosts(const planning& p, const job& j);

/** Drops reservations of jobs that no longer wait. */
void expire_reservations(planning& p);

} // namespace fulmarworks
