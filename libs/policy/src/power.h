#pragma once

#include "planning_step.h"

namespace fulmarworks {

/**
 * Powers on spare hosts for guarantee cells without accelerators and for jobs that couldn't be
 * placed. Powers off spare hosts that have been idle for some time.
 */
void plan_power(planning_step& p);

} // namespace fulmarworks
