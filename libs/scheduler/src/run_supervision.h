#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/** Moves runs that stand still, or are on workers that leave before they could end. */
void supervise_runs(reduction& r);

} // namespace fulmarworks::scheduler
