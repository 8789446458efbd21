#pragma once

#include "scheduler/coordinator.h"

#include <iterator>

namespace fulmarworks::scheduler {

/**
 * Maximum number of workers that one tick visits in a pass: more than current deployments have, and
 * few enough for a tick to take less than a millisecond.
 */
inline constexpr std::size_t max_workers_per_tick = 512;

/**
 * Continues a pass over all workers, or starts one if the last started at least `interval_ms` ago.
 *
 * `visit(worker&)` may change anything except the map of workers. It returns whether to erase the
 * worker.
 */
template <class Visit>
void continue_pass(coordinator_state& state, worker_pass& pass, time_ms now_ms, time_ms interval_ms,
                   const Visit& visit) {
    if (pass.next.empty()) {
        if (now_ms - pass.started_at_ms < interval_ms) {
            return;
        }
        pass.started_at_ms = now_ms;
    }
    auto next = state.workers.lower_bound(pass.next);
    for (std::size_t i = 0; i < max_workers_per_tick && next != state.workers.end(); ++i) {
        next = visit(next->second) ? state.workers.erase(next) : std::next(next);
    }
    pass.next = next != state.workers.end() ? next->first : "";
}

} // namespace fulmarworks::scheduler
