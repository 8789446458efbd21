#pragma once

#include "lookup.h"

namespace fulmarworks::scheduler {

/** Returns whether a run that a worker names is the current one of its task, on this worker. */
[[nodiscard]] bool is_current(const task_ref& ref, const worker& w, std::uint32_t run);

/**
 * Returns whether a host that passes on the latest order to start the run may send it later. Until
 * then the run must neither be ordered again nor take place elsewhere: a worker that starts again
 * forgets the runs that have ended there, and takes an order for one of them.
 */
[[nodiscard]] bool may_still_be_sent(const task& t, time_ms now_ms);

/** Records that a worker has confirmed the current run of a task. */
void confirm_run(const task_ref& ref, time_ms now_ms);

} // namespace fulmarworks::scheduler
