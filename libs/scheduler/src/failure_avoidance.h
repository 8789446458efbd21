#pragma once

#include "capacity.h"
#include "task_groups.h"

#include <set>
#include <string>

namespace fulmarworks::scheduler {

/** Records that the current run of a task failed or stalled on its worker. */
void note_failed_run(task& t, time_ms now_ms);

/** Returns the workers on which a task of the step last failed or stalled. Its tasks are placed on
 * other workers, unless none of these has capacity. */
[[nodiscard]] std::set<std::string> workers_with_failures(const step_progress& progress);

/**
 * Returns the request for those tasks of a step that no other worker has capacity for. It may use
 * workers on which tasks of the step failed, except where one failed a short time ago and no run
 * has completed since. For a long-running step there are no exceptions, as its tasks have no
 * limited number of attempts. `request` is the usual one.
 */
[[nodiscard]] task_group_request make_retry_request(coordinator_state& state,
                                                    const task_group& group,
                                                    const task_group_request& request,
                                                    time_ms now_ms);

/** Returns whether a retry request may be used for a task: not right after a failure of its own, so
 * that other workers can get free. */
[[nodiscard]] bool may_retry(const task_group& group, std::uint32_t index, time_ms now_ms);

/** Moves the tasks of a group for which a retry request may be used to a group of their own. */
[[nodiscard]] task_group take_retries(task_group& group, time_ms now_ms);

} // namespace fulmarworks::scheduler
