#pragma once

#include "capacity.h"

namespace fulmarworks::scheduler {

/**
 * Returns how strictly the task's next run is kept apart from other jobs' runs.
 *
 * Answers tasks that crash their workers: next to other runs that have just started, the next crash
 * couldn't be attributed, and each crash also ends the runs of bystanders. The demand is lowered
 * step by step, so that a suspect task starts on a full fleet too. Thread safe.
 */
[[nodiscard]] isolation required_isolation(const task& t, time_ms now_ms);

} // namespace fulmarworks::scheduler
