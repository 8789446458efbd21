#pragma once

#include "scheduler/settings.h"

namespace fulmarworks::scheduler {

/**
 * Rule by which a leader and its successor agree when a run can no longer be alive.
 *
 * A run lives while its worker holds a lease. Every order that extends a lease names the lease's
 * end E on the worker's steady clock, so an order that is carried out late extends nothing further.
 * A leader computes E = C + L, where C is a lower bound of the worker's clock at the leader's time
 * T, at which the leader also checks that it may act. The clock is at most 2% slow, so it reaches E
 * no later than T + L / 0.98.
 *
 * - The leader that granted the lease knows T: the run is over at T + L / 0.98.
 * - A successor doesn't know T, but the time U after which no earlier leader may act: T <= U, so
 * the run is over at U + L / 0.98. U comes from the lease records (`leadership_state`).
 *
 * With L = 3.9 s, a leader's lease of 0.7 s and its grace time of 5 s, a successor that read the
 * last record at time R waits until R + 5.7 s + 3.98 s at most. Wall clocks take no part.
 */

/** Longest lease that one poll grants before the margin is subtracted: longer than a change of
 * leader with a restart of all hosts, and shorter than the time that callers wait until the work of
 * a lost worker moves. */
inline constexpr time_ms max_granted_lease_ms = 4000;
/** Subtracted from a granted lease to allow for the network delay of the request. */
inline constexpr time_ms granted_lease_margin_ms = 100;

/** Returns the duration of the lease that a poll grants, on the worker's clock. Thread safe. */
[[nodiscard]] time_ms granted_lease(const settings& limits);

/**
 * Returns the monotonic time by which a lease of `lease_ms` on a worker's clock has expired, if it
 * was granted at `granted_at_ms` or earlier. Thread safe.
 */
[[nodiscard]] time_ms latest_lease_end(time_ms granted_at_ms, time_ms lease_ms);

} // namespace fulmarworks::scheduler
