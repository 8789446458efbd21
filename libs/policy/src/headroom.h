#pragma once

#include "planning_step.h"

namespace fulmarworks {

/** Updates the statistics of urgent jobs and sets the headroom of this step. */
void update_headroom(planning_step& p);

/** Returns whether placing the job on unplanned accelerators leaves the required headroom. */
[[nodiscard]] bool leaves_headroom(const planning_step& p, const job& j);

} // namespace fulmarworks
