#include "base/time.h"

#include <chrono>
#include <ctime>

namespace fulmarworks {

namespace {

template <class Clock>
time_ms clock_now_ms() {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}

} // namespace

time_ms monotonic_now() {
    return clock_now_ms<std::chrono::steady_clock>();
}

time_ms boottime_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    constexpr time_ms nanoseconds_per_millisecond = 1000000;
    return now.tv_sec * milliseconds_per_second + now.tv_nsec / nanoseconds_per_millisecond;
}

time_ms wall_now() {
    return clock_now_ms<std::chrono::system_clock>();
}

} // namespace fulmarworks
