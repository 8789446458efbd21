#include "scheduler/urgent_arrivals.h"

namespace fulmarworks::scheduler {

namespace {

/** Time over which arrivals are averaged: long enough for some jobs of a small deployment, and
 * short enough to follow a daily wave. */
constexpr time_ms window_ms = 8000;

} // namespace

void urgent_arrivals::add(time_ms at_ms, std::int64_t accelerators) {
    arrivals_.push_back({at_ms, accelerators});
    while (at_ms - arrivals_.front().at_ms > window_ms) {
        arrivals_.pop_front();
    }
}

double urgent_arrivals::accelerators_per_s(time_ms now_ms) const {
    std::int64_t total = 0;
    for (const auto& a : arrivals_) {
        total += now_ms - a.at_ms <= window_ms ? a.accelerators : 0;
    }
    return static_cast<double>(total) * milliseconds_per_second / window_ms;
}

double urgent_arrivals::mean_accelerators(time_ms now_ms) const {
    std::int64_t total = 0;
    int count = 0;
    for (const auto& a : arrivals_) {
        if (now_ms - a.at_ms <= window_ms) {
            total += a.accelerators;
            ++count;
        }
    }
    return count == 0 ? 0 : static_cast<double>(total) / count;
}

} // namespace fulmarworks::scheduler
