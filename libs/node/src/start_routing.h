#pragma once

#include "base/time.h"

#include <cstddef>

namespace fulmarworks::node {

/**
 * Decides whether the leader sends a start itself or through another entry host.
 *
 * Answers a load with so many starts that their payloads would fill the leader's link: leases,
 * stops and stored progress would then wait behind them, leases would run out, and the leadership
 * would move from host to host. Direct starts are limited to a share of the link by a token bucket;
 * the rest go through other hosts. Starts go directly while the link has room, because that is one
 * hop less and reuses the leader's connections.
 */
struct start_routing {
    /** Capacity of this host's link in bytes per second. */
    double link_bytes_per_s = 0;
    /** Bytes that may be sent directly now. */
    double available_bytes = 0;
    time_ms refilled_at_ms = 0;
};

/** Returns the routing of a host with a link of `link_mbps`, with a full bucket. */
[[nodiscard]] start_routing make_start_routing(double link_mbps, time_ms now_ms);

/** Returns whether to send a start of `bytes` directly, and takes its bytes from the bucket if so.
 */
[[nodiscard]] bool take_direct_start(start_routing& routing, std::size_t bytes, time_ms now_ms);

} // namespace fulmarworks::node
