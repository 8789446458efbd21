#pragma once

#include "base/time.h"

#include <cstddef>
#include <deque>
#include <functional>

namespace fulmarworks::node {

/**
 * Limits how many pages of the store's topics are read at the same time.
 *
 * Answers a take-over on a host with a small link: each page in transit fills its connection's
 * window, and the renewals of the leader's lease wait behind all of them. With many pages at once
 * the lease ran out before the state was read, host after host. Not thread safe.
 */
class read_limiter {
public:
    /** Precondition: `max_reads` is at least 1. */
    explicit read_limiter(std::size_t max_reads) : max_reads_(max_reads) {}

    /** Calls `start` now, or when an earlier read has finished. `start` must lead to exactly one
     * call of `finished`. */
    void run(std::function<void()> start);

    /** Ends one read that was started, and starts the next that waits. */
    void finished();

private:
    std::size_t max_reads_;
    std::size_t reads_ = 0;
    std::deque<std::function<void()>> waiting_;
};

/** Returns how many pages a host with this link reads at the same time. */
[[nodiscard]] std::size_t max_page_reads(double link_mbps);

} // namespace fulmarworks::node
