#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>

namespace fulmarworks::scheduler {

/** Demand of the urgent jobs that arrived lately. Not thread safe. */
class urgent_arrivals {
public:
    /** Adds a job that needs `accelerators` at once. */
    void add(time_ms at_ms, std::int64_t accelerators);

    /** Returns the accelerators demanded per second, on average over the last seconds. */
    [[nodiscard]] double accelerators_per_s(time_ms now_ms) const;

    /** Returns the mean demand of a job; 0 without recent jobs. */
    [[nodiscard]] double mean_accelerators(time_ms now_ms) const;

private:
    struct arrival {
        time_ms at_ms = 0;
        std::int64_t accelerators = 0;
    };

    std::deque<arrival> arrivals_;
};

} // namespace fulmarworks::scheduler
