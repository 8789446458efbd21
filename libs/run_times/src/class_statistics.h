#pragma once

#include "base/time.h"
#include "log_histogram.h"

#include <cstdint>

namespace fulmarworks::run_times {

/** Origin of the histograms of durations. */
inline constexpr double duration_origin_ms = 64;
/** Origin of the histograms of durations divided by estimates: 2^-10.125, for which a ratio of 1
 * lies in the middle of a bucket. */
inline constexpr double ratio_origin = 1 / 1116.7;
/** Time in which the weight of a sample halves. */
inline constexpr time_ms half_life_ms = 10 * milliseconds_per_minute;

/** Finished runs of one class. The weights of both histograms are those at `weighed_at_ms`. */
struct class_statistics {
    log_histogram durations;
    /** Durations divided by the caller's estimate; only of runs with an estimate. */
    log_histogram ratios;
    time_ms weighed_at_ms = 0;
    time_ms last_sample_at_ms = 0;
    histogram_shape duration_shape;
    histogram_shape ratio_shape;

    /** Whether a stored value was restored or a value was returned for the store. */
    bool in_store = false;
    /** Whether samples were added since a value was last returned for the store. */
    bool changed = false;
    /** Increases with each return for the store, over all classes; 0 before the first. */
    std::uint64_t returned_at = 0;
};

/** Returns the factor by which weights shrink in a time; 1 for negative times. */
[[nodiscard]] double decay(time_ms duration_ms);

/** Adds a run of weight 1. `duration_ms` refers to a worker of speed 1. */
void add_run(class_statistics& c, double duration_ms, time_ms estimate_ms, time_ms now_ms);

/** Adds the runs of `other`, both as of `now_ms`. */
void merge(class_statistics& c, const class_statistics& other, time_ms now_ms);

/** Returns the total weight of the runs, as of `now_ms`. */
[[nodiscard]] double weight_at(const class_statistics& c, time_ms now_ms);

} // namespace fulmarworks::run_times
