#pragma once

#include <cstdint>

namespace fulmarworks {

/** Milliseconds: an instant of a stated clock, or a duration. */
using time_ms = std::int64_t;

inline constexpr time_ms milliseconds_per_second = 1000;
inline constexpr time_ms milliseconds_per_minute = 60 * milliseconds_per_second;
inline constexpr time_ms milliseconds_per_hour = 60 * milliseconds_per_minute;

/** Returns the monotonic clock in milliseconds. Thread safe. */
[[nodiscard]] time_ms monotonic_now();

/** Returns a monotonic clock that also counts suspended time, for leases. Thread safe. */
[[nodiscard]] time_ms boottime_now();

/** Returns the wall clock in milliseconds since the Unix epoch. Thread safe. */
[[nodiscard]] time_ms wall_now();

} // namespace fulmarworks
