#include "urgent_headroom.h"

#include "expected_ends.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

/** Largest share of all accelerators that is kept free. */
constexpr double max_headroom_share = 0.15;

} // namespace

std::int64_t headroom_accelerators(const urgent_arrivals& arrivals, const settings& limits,
                                   std::int64_t all, time_ms now_ms) {
    const double refill_s =
        static_cast<double>(stop_and_restart_ms(limits)) / milliseconds_per_second;
    const double wanted = std::max(arrivals.accelerators_per_s(now_ms) * refill_s,
                                   arrivals.mean_accelerators(now_ms));
    return static_cast<std::int64_t>(
        std::min(wanted, max_headroom_share * static_cast<double>(all)));
}

std::set<std::string_view> choose_headroom_racks(const capacity_index& capacities,
                                                 std::int64_t headroom) {
    std::set<std::string_view> chosen;
    std::int64_t free = 0;
    const auto& racks = capacities.racks();
    for (auto it = racks.rbegin(); it != racks.rend() && free < headroom; ++it) {
        const auto& [free_accelerators, name] = it->first;
        chosen.insert(name);
        free += free_accelerators;
    }
    return chosen;
}

} // namespace fulmarworks::scheduler
