#include "start_routing.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

constexpr std::size_t start_bytes = 2800;
constexpr double bytes_per_megabit = 125'000;

/** Offers `starts_per_s` starts for `duration_s`, evenly. Returns the bytes sent directly. */
std::size_t replay(start_routing& routing, int starts_per_s, int duration_s) {
    std::size_t direct = 0;
    for (time_ms now = 0; now < duration_s * 1000; ++now) {
        const int due =
            static_cast<int>((now + 1) * starts_per_s / 1000 - now * starts_per_s / 1000);
        for (int i = 0; i < due; ++i) {
            direct += take_direct_start(routing, start_bytes, now) ? start_bytes : 0;
        }
    }
    return direct;
}

} // namespace

// 90 starts of 2.8 KB a second fill a link of 2 Mbit/s; leases then ran out behind them.
TEST_CASE("direct starts leave most of a small link to leases, stops and the store") {
    constexpr double link_mbps = 2;
    constexpr int duration_s = 30;
    constexpr double allowed_share = 0.25;
    auto routing = make_start_routing(link_mbps, 0);
    const std::size_t direct = replay(routing, 90, duration_s);
    CHECK(direct > 0);
    CHECK(static_cast<double>(direct) <=
          allowed_share * link_mbps * bytes_per_megabit * duration_s);
}

TEST_CASE("a large link carries all starts directly") {
    auto routing = make_start_routing(200, 0);
    CHECK(replay(routing, 700, 10) == std::size_t{7000} * start_bytes);
}

TEST_CASE("time without starts doesn't allow more than one burst") {
    constexpr double link_mbps = 2;
    auto routing = make_start_routing(link_mbps, 0);
    std::size_t direct = 0;
    while (take_direct_start(routing, start_bytes, 60'000)) {
        direct += start_bytes;
    }
    CHECK(static_cast<double>(direct) <= link_mbps * bytes_per_megabit * 0.25);
}
