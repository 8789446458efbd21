#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/**
 * Handles runs whose end becomes known after their task was released, for example when a worker
 * that was cut off answers again. A completed task must not run once more.
 */

/**
 * Returns whether a run completed after its task was released and before the next run was placed.
 */
[[nodiscard]] bool is_late_success(const task_ref& ref, const ended_run& end);

/**
 * Releases a task that is placed again although its previous run has completed. The start has not
 * been sent, so the task needs no other run. Afterwards the end is a late success.
 */
void withdraw_needless_placement(reduce_context& ctx, const task_ref& ref, const ended_run& end);

/** Logs an end of a run that isn't its task's current one and changes nothing. */
void log_unmatched_end(reduce_context& ctx, const std::string& worker_id, const task_ref& ref,
                       const ended_run& end);

} // namespace fulmarworks::scheduler
