#pragma once

#include "scheduler/coordinator.h"

#include <iterator>

namespace fulmarworks::scheduler {

/** Workers that one tick looks after in a round: more than today's deployments have, and few
 * enough for a tick to take under a millisecond. */
inline constexpr std::size_t max_workers_per_tick = 512;

/**
 * Goes on with a round over all workers, or begins one if the last began `interval_ms` ago.
 *
 * `visit(worker&)` may change anything but the map of workers; it returns whether the worker is to
 * be dropped.
 */
template <class Visit>
void continue_round(coordinator_state& state, worker_round& round, time_ms now_ms,
                    time_ms interval_ms, const Visit& visit) {
    if (round.next.empty()) {
        if (now_ms - round.started_at_ms < interval_ms) {
            return;
        }
        round.started_at_ms = now_ms;
    }
    auto next = state.workers.lower_bound(round.next);
    for (std::size_t i = 0; i < max_workers_per_tick && next != state.workers.end(); ++i) {
        next = visit(next->second) ? state.workers.erase(next) : std::next(next);
    }
    round.next = next != state.workers.end() ? next->first : "";
}

} // namespace fulmarworks::scheduler
