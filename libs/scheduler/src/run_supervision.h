#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/** Stops runs of a worker that are stalled or can't finish before the worker leaves. */
void supervise_runs(reduce_context& ctx, worker& w);

} // namespace fulmarworks::scheduler
