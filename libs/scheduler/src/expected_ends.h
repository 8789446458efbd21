#pragma once

#include "lifecycle.h"
#include "task_groups.h"

namespace fulmarworks::scheduler {

/**
 * Capacity that becomes free without preemption.
 *
 * Handles urgent groups that arrive on a full fleet while enough of its runs are about to end: a
 * stop takes as long as such a run, and it loses the run's work.
 */

/** Returns the time from the decision to stop runs until others have started in their place. */
[[nodiscard]] time_ms stop_and_restart_ms(const settings& limits);

/**
 * Updates which runs of a worker are expected to end within the time that a stop takes, judged by
 * their progress. A run at 100 percent is past its usual end and never counted. No run is expected
 * to end while `settings::learned_run_times` is off.
 */
void update_expected_ends(reduce_context& ctx, worker& w);

/**
 * Returns whether an urgent group may wait for runs that are expected to end: only for the time
 * that a stop takes, counted from when it was ready, and only while it can still preempt within
 * `settings::reclaim_ms` if it is guaranteed.
 */
[[nodiscard]] bool may_rely_on_ends(const settings& limits, const task_group& group,
                                    time_ms now_ms);

} // namespace fulmarworks::scheduler
