#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/** Applies the ended runs that a worker lists and schedules their confirmation. */
void apply_ends(reduce_context& ctx, worker& w, const worker_status& status);

/** Reconciles the assignments of a worker with the active runs that it lists. Call it after
 * `apply_ends`. */
void reconcile_runs(reduce_context& ctx, worker& w, const poll_answered& answer);

} // namespace fulmarworks::scheduler
