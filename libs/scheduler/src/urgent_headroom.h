#pragma once

#include "scheduler/capacity_index.h"
#include "scheduler/settings.h"
#include "scheduler/urgent_arrivals.h"

#include <set>
#include <string_view>

namespace fulmarworks::scheduler {

/**
 * Keeps capacity free for the urgent jobs of the next moment.
 *
 * Answers a steady stream of urgent gangs on a fleet that less urgent work fills completely.
 * Without free capacity each of them has to stop runs: it starts later by the stop timeout, and the
 * stopped work is lost. The headroom is what arrives while capacity is being freed, and it is kept
 * in whole racks, because urgent gangs are placed in one rack.
 */

/** Returns the accelerators to keep free. Thread safe. */
[[nodiscard]] std::int64_t headroom_accelerators(const urgent_arrivals& arrivals,
                                                 const settings& limits, std::int64_t all,
                                                 time_ms now_ms);

/**
 * Returns the racks in which only urgent tasks may be placed: those with the most free
 * accelerators, until they have `headroom` together. The names are valid while the racks are in the
 * index.
 */
[[nodiscard]] std::set<std::string_view> choose_headroom_racks(const capacity_index& capacities,
                                                               std::int64_t headroom);

} // namespace fulmarworks::scheduler
