#pragma once

#include "base/json.h"

#include <bit>
#include <cstdint>
#include <optional>

namespace fulmarworks {

using host_index = std::uint32_t;
using rack_index = std::uint32_t;
using pool_index = std::uint32_t;

/** Set of accelerators of one host: bit i stands for accelerator i, adjacent to its neighbours. */
using accelerator_mask = std::uint64_t;

/** Adjacent accelerators `first` to `first + count - 1` of one host; `count` may be 0. */
struct block {
    host_index host = 0;
    int first = 0;
    int count = 0;

    bool operator==(const block&) const = default;
};

FULMARWORKS_JSON(block, host, first, count)

/** Returns the bits `first` to `first + count - 1`. Precondition: they lie in 0..63. */
[[nodiscard]] constexpr accelerator_mask mask_of(int first, int count) {
    if (count <= 0) {
        return 0;
    }
    const accelerator_mask ones =
        count >= 64 ? ~accelerator_mask{0} : (accelerator_mask{1} << count) - 1;
    return ones << first;
}

[[nodiscard]] constexpr accelerator_mask mask_of(const block& b) {
    return mask_of(b.first, b.count);
}

/** Returns the length of the longest run of set bits. Thread safe. */
[[nodiscard]] int longest_run(accelerator_mask available);

/** Returns how many disjoint runs of `count` set bits `available` has. Precondition: count > 0. */
[[nodiscard]] int count_runs(accelerator_mask available, int count);

/**
 * Returns the first bit of a run of `count` set bits among the lowest `width` bits. Like buddy
 * allocation (Knowlton, CACM 1965), it limits fragmentation: it prefers a run that is aligned to
 * the next power of two and lies inside the smallest free aligned block. Falls back to the first
 * unaligned run. Thread safe.
 */
[[nodiscard]] std::optional<int> best_run(accelerator_mask available, int width, int count);

} // namespace fulmarworks
