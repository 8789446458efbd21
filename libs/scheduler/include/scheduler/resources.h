#pragma once

#include <cstdint>

namespace fulmarworks::scheduler {

/** Resources that a task needs or a worker offers. */
struct resources {
    /** Thousandths of a core. */
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other) {
        cpu_millis += other.cpu_millis;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(const resources& other) {
        cpu_millis -= other.cpu_millis;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend resources operator-(const resources& r) {
        return {-r.cpu_millis, -r.memory_mb, -r.accelerators};
    }

    friend bool operator==(const resources&, const resources&) = default;
};

/** More than any worker has, and small enough that sums over all tasks of a job don't overflow. */
inline constexpr std::int64_t max_resource = 1'000'000'000'000;

/** Returns whether all values are between 0 and `max_resource`. Thread safe. */
[[nodiscard]] constexpr bool is_within_limits(const resources& r) {
    constexpr auto within = [](std::int64_t v) { return v >= 0 && v <= max_resource; };
    return within(r.cpu_millis) && within(r.memory_mb) && within(r.accelerators);
}

/** Returns whether `need` is at most `available` in every dimension. Thread safe. */
[[nodiscard]] constexpr bool fits(const resources& need, const resources& available) {
    return need.cpu_millis <= available.cpu_millis && need.memory_mb <= available.memory_mb &&
           need.accelerators <= available.accelerators;
}

} // namespace fulmarworks::scheduler
