#pragma once

#include "planning.h"

namespace fulmarworks {

/**
 * Switches spare hosts on for guarantees without accelerators and for jobs that found no place,
 * and off again after they have been idle for a while.
 */
void plan_power(planning& p);

} // namespace fulmarworks
