#include "lease.h"

#include "scheduler/worker.h"

#include <algorithm>
#include <cmath>

namespace fulmarworks::scheduler {

namespace {

/**
 * Slowest rate of a worker's steady clock relative to the leader's, as documented by the platform.
 */
constexpr double slowest_clock_rate = 0.98;
/** Allowance for timers that fire late at the worker. */
constexpr time_ms late_timer_margin_ms = 100;

} // namespace

time_ms granted_lease(const settings& limits) {
    return std::min(max_granted_lease_ms, limits.max_lease_ms) - granted_lease_margin_ms;
}

time_ms latest_lease_end(time_ms granted_at_ms, time_ms lease_ms) {
    const auto longest = std::ceil(static_cast<double>(lease_ms) / slowest_clock_rate);
    return granted_at_ms + static_cast<time_ms>(longest) + late_timer_margin_ms;
}

time_ms worker_clock(const worker& w, time_ms now_ms) {
    const time_ms elapsed = std::max<time_ms>(0, now_ms - w.clock_reference_at_ms);
    return w.clock_reference_ms +
           static_cast<time_ms>(static_cast<double>(elapsed) * slowest_clock_rate);
}

void grant_lease(worker& w, time_ms end_at_worker_ms) {
    w.lease_ends_at_worker_ms = std::max(w.lease_ends_at_worker_ms, end_at_worker_ms);
    w.lease_expiry_bound_ms =
        std::max(w.lease_expiry_bound_ms,
                 latest_lease_end(w.clock_reference_at_ms,
                                  w.lease_ends_at_worker_ms - w.clock_reference_ms));
}

} // namespace fulmarworks::scheduler
