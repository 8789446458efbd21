#pragma once

#include "lookup.h"

namespace fulmarworks::scheduler {

/** Returns whether a run that a worker names is the current one of its task, on this worker. */
[[nodiscard]] bool is_current(const task_ref& ref, const worker& w, std::uint32_t run);

/** Records that a worker has confirmed the current run of a task. */
void confirm_run(const task_ref& ref, time_ms now_ms);

} // namespace fulmarworks::scheduler
