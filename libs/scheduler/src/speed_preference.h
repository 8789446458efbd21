#pragma once

#include "scheduler/coordinator.h"

#include <span>

namespace fulmarworks::scheduler {

/**
 * Preferences among workers of different speeds.
 *
 * Handles fleets with some fast workers: they are kept for urgent work, and for gangs that gain
 * from them. A gang runs until its slowest member is done, so it gains nothing from a fast worker
 * beside a normal one. Preferences never delay a start: the last choice always is any worker. While
 * no worker is known to be fast or slow, that is the only choice.
 */

/** Returns the sets of speeds on which to place a gang as a whole, the preferred one first. */
[[nodiscard]] std::span<const speed_set> gang_speeds(const coordinator_state& state, int priority);

/** Speeds of the workers for the tasks of a step that are not a gang. */
struct speed_preference {
    /** Speeds that are used only if all tasks fit there; empty if there are none. */
    speed_set all_or_nothing;
    /** Otherwise, as many tasks as possible are placed on each of these in turn. */
    std::span<const speed_set> in_order;
};

[[nodiscard]] speed_preference task_speeds(const coordinator_state& state, int priority);

} // namespace fulmarworks::scheduler
