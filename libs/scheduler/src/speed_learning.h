#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/**
 * Begins to measure the rate of a run that a worker has just confirmed. Runs that continue from a
 * checkpoint, or whose start is known only roughly, are not measured.
 */
void begin_measurement(task& t, time_ms now_ms);

/** Measures the rate of a run that reported more progress. */
void measure_progress(reduce_context& ctx, const task_id& id, const task_ref& ref);

/** Measures the rate of a run that ended as done. Call it before the task is released. */
void measure_end(reduce_context& ctx, const task_id& id, const task_ref& ref);

/** Determines the classes of the workers from time to time, and logs the changes. */
void update_speed_classes(reduce_context& ctx);

} // namespace fulmarworks::scheduler
