#include "sustained_delay.h"

namespace fulmarworks::node {

namespace {

constexpr time_ms window_ms = 3000;
/** Shorter delays are usual where the system limits a process per tenth of a second. */
constexpr time_ms min_counted_delay_ms = 200;

} // namespace

void sustained_delay::reset(time_ms now_ms) {
    window_begin_ms_ = now_ms;
    late_ms_ = 0;
}

bool sustained_delay::add(time_ms now_ms, time_ms delay_ms) {
    late_ms_ += delay_ms >= min_counted_delay_ms ? delay_ms : 0;
    const time_ms lasted_ms = now_ms - window_begin_ms_;
    if (lasted_ms < window_ms) {
        return false;
    }
    const bool late = 2 * late_ms_ >= lasted_ms;
    reset(now_ms);
    return late;
}

} // namespace fulmarworks::node
