#include "log_histogram.h"

#include <algorithm>
#include <cmath>

namespace fulmarworks::run_times {

namespace {

/** Share of the weight that belongs to the body. A class with 3% of long runs was observed; the
 * rest is a margin for small samples. */
constexpr double body_quantile = 0.95;
/** High enough to lie in the upper part of a tail of 3%. */
constexpr double long_quantile = 0.995;
/** A weight that is this small has no influence on any decision. */
constexpr float negligible_weight = 1e-4F;

double value_at(double bucket_position) {
    return std::exp2(bucket_position / buckets_per_octave);
}

/** Returns the values at the centers of all buckets. */
const std::array<double, histogram_buckets>& bucket_centers() {
    static const auto centers = [] {
        std::array<double, histogram_buckets> values{};
        for (std::size_t i = 0; i < histogram_buckets; ++i) {
            values[i] = value_at(static_cast<double>(i) + 0.5);
        }
        return values;
    }();
    return centers;
}

/** Returns the position on the scale of buckets, for a value of any size. */
double bucket_position(double value) {
    constexpr double last = static_cast<double>(histogram_buckets) - 0.5;
    if (!(value > 1)) {
        return 0;
    }
    return std::min(buckets_per_octave * std::log2(value), last);
}

double total_weight(const log_histogram& h) {
    double total = 0;
    for (const float w : h.weights) {
        total += w;
    }
    return total;
}

} // namespace

void add_value(log_histogram& h, double value, float weight) {
    h.weights[static_cast<std::size_t>(bucket_position(value))] += weight;
}

void scale_weights(log_histogram& h, double factor) {
    const auto f = static_cast<float>(factor);
    for (float& w : h.weights) {
        w = w * f < negligible_weight ? 0 : w * f;
    }
}

void add_weights(log_histogram& h, const log_histogram& other) {
    for (std::size_t i = 0; i < histogram_buckets; ++i) {
        h.weights[i] += other.weights[i];
    }
}

histogram_shape describe_shape(const log_histogram& h) {
    histogram_shape shape;
    shape.total_weight = total_weight(h);
    const double body_limit = shape.total_weight * body_quantile;
    const double long_limit = shape.total_weight * long_quantile;
    double seen = 0;
    double body = 0;
    double value_sum = 0;
    double position_sum = 0;
    double square_sum = 0;
    for (std::size_t i = 0; i < histogram_buckets && seen < long_limit; ++i) {
        const double weight = h.weights[i];
        const double in_body = std::clamp(body_limit - seen, 0.0, weight);
        const auto position = static_cast<double>(i);
        body += in_body;
        value_sum += in_body * bucket_centers()[i];
        position_sum += in_body * position;
        square_sum += in_body * position * position;
        seen += weight;
        if (weight > 0) {
            shape.long_value = value_at(position + 1);
        }
    }
    if (body > 0) {
        const double mean_position = position_sum / body;
        shape.body_mean = value_sum / body;
        shape.spread = std::sqrt(std::max(square_sum / body - mean_position * mean_position, 0.0));
    }
    return shape;
}

double mean_excess(const log_histogram& h, double value) {
    const double position = bucket_position(value);
    const auto first = static_cast<std::size_t>(position);
    // Within the bucket of `value`, values are assumed to be spread evenly on the logarithmic
    // scale.
    const double share_above = static_cast<double>(first) + 1 - position;
    const double center_above = value_at((position + static_cast<double>(first) + 1) / 2);
    double above = h.weights[first] * share_above;
    double excess_sum = above * std::max(center_above - value, 0.0);
    for (std::size_t i = first + 1; i < histogram_buckets; ++i) {
        above += h.weights[i];
        excess_sum += h.weights[i] * (bucket_centers()[i] - value);
    }
    const double bucket_width = value * (value_at(1) - 1);
    return above > negligible_weight ? excess_sum / above : bucket_width;
}

} // namespace fulmarworks::run_times
