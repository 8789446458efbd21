#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace fulmarworks::scheduler {

/** Learned speed of a worker, compared with the fleet's median. */
enum class speed_class : std::uint8_t { slow, normal, fast };

inline constexpr std::size_t speed_class_count = 3;

/** A set of speed classes; bit N stands for the class of value N. */
using speed_set = std::bitset<speed_class_count>;

/** Returns the set that contains one class. Thread safe. */
[[nodiscard]] constexpr speed_set only(speed_class speed) {
    return {1ULL << static_cast<unsigned>(speed)};
}

inline constexpr speed_set all_speeds{(1ULL << speed_class_count) - 1};

/** Returns whether the set contains a class. Thread safe. */
[[nodiscard]] inline bool contains(speed_set speeds, speed_class speed) {
    return speeds[static_cast<std::size_t>(speed)];
}

} // namespace fulmarworks::scheduler
