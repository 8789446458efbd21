#include "worker_speed_metrics.h"

namespace fulmarworks::node {

void export_worker_speeds(const scheduler::coordinator_state* state, metrics& counters) {
    const scheduler::worker_speeds none;
    const auto& speeds = state == nullptr ? none : state->speeds;
    counters.set("fast_workers", static_cast<double>(speeds.fast_workers));
    counters.set("slow_workers", static_cast<double>(speeds.slow_workers));
}

} // namespace fulmarworks::node
