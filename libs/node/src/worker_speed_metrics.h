#pragma once

#include "node/metrics.h"
#include "scheduler/coordinator.h"

namespace fulmarworks::node {

/** Sets the gauges `fast_workers` and `slow_workers`; 0 if `state` is null, as on other hosts than
 * the leader's. */
void export_worker_speeds(const scheduler::coordinator_state* state, metrics& counters);

} // namespace fulmarworks::node
