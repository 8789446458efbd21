#include "start_routing.h"

#include <algorithm>

namespace fulmarworks::node {

namespace {

/** Share of the link for direct starts. The rest remains for polls, stops, the store and callers.
 */
constexpr double direct_share = 0.1;
/** Time over which the direct share may be used at once. */
constexpr double burst_s = 0.2;
constexpr double bytes_per_megabit = 125'000;

} // namespace

start_routing make_start_routing(double link_mbps, time_ms now_ms) {
    const double rate = link_mbps * bytes_per_megabit;
    return {rate, rate * direct_share * burst_s, now_ms};
}

bool take_direct_start(start_routing& routing, std::size_t bytes, time_ms now_ms) {
    const double rate = routing.link_bytes_per_s * direct_share;
    const double elapsed_s =
        static_cast<double>(std::max<time_ms>(now_ms - routing.refilled_at_ms, 0)) /
        milliseconds_per_second;
    routing.available_bytes = std::min(rate * burst_s, routing.available_bytes + elapsed_s * rate);
    routing.refilled_at_ms = now_ms;
    const auto needed = static_cast<double>(bytes);
    if (needed > routing.available_bytes) {
        return false;
    }
    routing.available_bytes -= needed;
    return true;
}

} // namespace fulmarworks::node
