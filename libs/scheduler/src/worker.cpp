#include "scheduler/worker.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

/**
 * Slowest rate of a worker's steady clock relative to the leader's, as documented by the platform.
 */
constexpr double slowest_clock_rate = 0.98;
/** Allowance for the network delay of a request that carries a clock reading. */
constexpr time_ms clock_reading_margin_ms = 100;

} // namespace

time_ms worker_clock(const worker& w, time_ms now_ms) {
    const time_ms elapsed = std::max<time_ms>(0, now_ms - w.clock_reference_at_ms);
    return w.clock_reference_ms +
           static_cast<time_ms>(static_cast<double>(elapsed) * slowest_clock_rate);
}

void grant_lease(worker& w, time_ms end_at_worker_ms) {
    w.lease_ends_at_worker_ms = std::max(w.lease_ends_at_worker_ms, end_at_worker_ms);
    const auto ahead = static_cast<double>(w.lease_ends_at_worker_ms - w.clock_reference_ms);
    w.lease_expiry_bound_ms = w.clock_reference_at_ms +
                              static_cast<time_ms>(ahead / slowest_clock_rate) +
                              clock_reading_margin_ms;
}

} // namespace fulmarworks::scheduler
