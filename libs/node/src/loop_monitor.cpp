#include "loop_monitor.h"

#include <algorithm>
#include <ctime>

namespace fulmarworks::node {

namespace {

/** Time for which a delay counts as recent; longer than a lease and its grace time. */
constexpr time_ms recent_ms = 10'000;

time_ms process_cpu_ms() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return used.tv_sec * milliseconds_per_second + used.tv_nsec / 1'000'000;
}

} // namespace

loop_delay loop_monitor::tick() {
    const time_ms now = boottime_now();
    const time_ms cpu = process_cpu_ms();
    loop_delay last;
    if (ticked_at_ms_ != 0) {
        last.delay_ms = std::max<time_ms>(0, now - ticked_at_ms_ - interval_ms_);
        last.cpu_ms = cpu - cpu_at_tick_ms_;
    }
    if (last.delay_ms >= longest_delay_ms_ || now - longest_delay_at_ms_ > recent_ms) {
        longest_delay_ms_ = last.delay_ms;
        longest_delay_at_ms_ = now;
    }
    ticked_at_ms_ = now;
    cpu_at_tick_ms_ = cpu;
    return last;
}

time_ms loop_monitor::recent_delay_ms() const {
    return boottime_now() - longest_delay_at_ms_ > recent_ms ? 0 : longest_delay_ms_;
}

} // namespace fulmarworks::node
