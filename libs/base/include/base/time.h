#pragma once

#include <cstdint>

namespace fulmarworks {

/** A duration or the reading of a clock, in milliseconds. */
using time_ms = std::int64_t;

inline constexpr time_ms milliseconds_per_second = 1000;
inline constexpr time_ms milliseconds_per_minute = 60 * milliseconds_per_second;
inline constexpr time_ms milliseconds_per_hour = 60 * milliseconds_per_minute;

/** Returns the monotonic clock, which stops while the system is suspended. Thread safe. */
[[nodiscard]] time_ms monotonic_now();

/** Returns the monotonic clock that also counts suspended time, as leases need. Thread safe. */
[[nodiscard]] time_ms boottime_now();

/** Returns the wall clock as time since the Unix epoch. Thread safe. */
[[nodiscard]] time_ms wall_now();

} // namespace fulmarworks
