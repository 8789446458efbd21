#pragma once

#include "planning.h"

namespace fulmarworks {

/** Updates the statistics of urgent work and sets the headroom of this step. */
void update_headroom(planning& p);

/** Returns whether the job may take unplanned accelerators without using up the headroom. */
[[nodiscard]] bool leaves_headroom(const planning& p, const job& j);

} // namespace fulmarworks
