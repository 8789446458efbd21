#include "base/time.h"

#include <chrono>

namespace fulmarworks {

namespace {

template <class Clock>
time_ms now_of() {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}

} // namespace

time_ms monotonic_now() {
    return now_of<std::chrono::steady_clock>();
}

time_ms wall_now() {
    return now_of<std::chrono::system_clock>();
}

} // namespace fulmarworks
