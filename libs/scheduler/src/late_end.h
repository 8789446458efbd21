#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/**
 * Applies the end of a run that isn't its task's current one, for example because the task was
 * released while its worker didn't answer. The worker forgets an end once its effect is stored, so
 * none that completes a task may be dropped: see the cases of `complete_run`. Any other end of an
 * earlier run changes nothing, as its task is idle or runs again already.
 */
void apply_late_end(reduce_context& ctx, const std::string& worker_id, const task_ref& ref,
                    const ended_run& end);

} // namespace fulmarworks::scheduler
