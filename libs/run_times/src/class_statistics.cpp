#include "class_statistics.h"

#include <algorithm>
#include <cmath>

namespace fulmarworks::run_times {

namespace {

void age_weights(class_statistics& c, time_ms now_ms) {
    const double factor = decay(now_ms - c.weighed_at_ms);
    scale_weights(c.durations, factor);
    scale_weights(c.ratios, factor);
    c.weighed_at_ms = std::max(c.weighed_at_ms, now_ms);
}

void update_shapes(class_statistics& c) {
    c.duration_shape = describe_shape(c.durations);
    c.ratio_shape = describe_shape(c.ratios);
}

} // namespace

double decay(time_ms duration_ms) {
    return duration_ms <= 0
               ? 1
               : std::exp2(-static_cast<double>(duration_ms) / static_cast<double>(half_life_ms));
}

void add_run(class_statistics& c, double duration_ms, time_ms estimate_ms, time_ms now_ms) {
    age_weights(c, now_ms);
    add_value(c.durations, duration_ms / duration_origin_ms, 1);
    if (estimate_ms > 0) {
        add_value(c.ratios, duration_ms / static_cast<double>(estimate_ms) / ratio_origin, 1);
    }
    c.last_sample_at_ms = std::max(c.last_sample_at_ms, now_ms);
    update_shapes(c);
}

void merge(class_statistics& c, const class_statistics& other, time_ms now_ms) {
    class_statistics added = other;
    age_weights(c, now_ms);
    age_weights(added, now_ms);
    add_weights(c.durations, added.durations);
    add_weights(c.ratios, added.ratios);
    c.last_sample_at_ms = std::max(c.last_sample_at_ms, other.last_sample_at_ms);
    update_shapes(c);
}

double weight_at(const class_statistics& c, time_ms now_ms) {
    return c.duration_shape.total_weight * decay(now_ms - c.weighed_at_ms);
}

} // namespace fulmarworks::run_times
