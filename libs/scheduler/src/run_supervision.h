#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/** Moves runs of a worker that stand still, or that couldn't end before the worker leaves. */
void supervise_runs(reduce_context& ctx, worker& w);

} // namespace fulmarworks::scheduler
