#pragma once

#include <array>
#include <cstddef>

namespace fulmarworks::run_times {

/** Buckets a power of two. */
inline constexpr double buckets_per_octave = 4;
/** 21 octaves: durations from 64 ms to 36 hours. */
inline constexpr std::size_t histogram_buckets = 84;

/**
 * Weighted counts of positive values in logarithmic buckets. Bucket `i` holds the values from
 * `origin * 2^(i/4)` up to `origin * 2^((i+1)/4)`; the first and the last one also hold all values
 * beyond. Since aging scales all weights alike, shape figures depend only on the added values.
 */
struct log_histogram {
    std::array<float, histogram_buckets> weights{};
};

/** Figures of a histogram, in multiples of its origin. */
struct histogram_shape {
    double total_weight = 0;
    /** Mean of the values below the quantile at which the tail starts. */
    double body_mean = 0;
    /** Quantile that nearly all values stay below; the upper edge of its bucket. */
    double long_value = 0;
    /** Standard deviation of the body's logarithms, in buckets. */
    double spread = 0;
};

/** Adds a value, given as a multiple of the origin. Precondition: `weight` is above 0. */
void add_value(log_histogram& h, double value, float weight);

/** Multiplies all weights by `factor`; weights that become negligible are set to 0. */
void scale_weights(log_histogram& h, double factor);

/** Adds the weights of `other`. Precondition: both have the same origin. */
void add_weights(log_histogram& h, const log_histogram& other);

[[nodiscard]] histogram_shape describe_shape(const log_histogram& h);

/**
 * Returns by how much the values above `value` exceed it on average. If no value above it has been
 * seen, returns the width of the bucket that starts at `value`: a value that exceeds all others by
 * an unknown amount is expected to go on in proportion to its size.
 */
[[nodiscard]] double mean_excess(const log_histogram& h, double value);

} // namespace fulmarworks::run_times
