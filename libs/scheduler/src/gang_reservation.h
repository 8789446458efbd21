#pragma once

#include "capacity.h"
#include "task_groups.h"

#include <optional>
#include <span>
#include <vector>

namespace fulmarworks::scheduler {

/**
 * Reservations of an urgent gang on workers where runs are being stopped for it, or are expected to
 * end.
 *
 * Answers gangs that need runs on several workers to stop: without a reservation, tasks that come
 * later take what becomes free first.
 */

/** Reserves capacity for the group until the runs that occupy it have ended. */
void reserve_capacity(const coordinator_state& state, const task_group& group,
                      std::span<const worker_index> chosen, time_ms now_ms);

/**
 * Books the capacity that was reserved for a group. Returns the workers if all of it is free now;
 * sets `waiting` if some of it is still in use. Drops a reservation that expired or no longer fits
 * into the capacity of the given kind.
 */
[[nodiscard]] std::optional<std::vector<worker_index>>
claim_reservation(coordinator_state& state, const task_group& group, task_group_request& request,
                  capacity_kind kind, time_ms now_ms, bool& waiting);

} // namespace fulmarworks::scheduler
