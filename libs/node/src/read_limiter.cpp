#include "read_limiter.h"

#include <algorithm>
#include <utility>

namespace fulmarworks::node {

namespace {

/** Link capacity for each page that is read at the same time: a window of 64 KB then delays other
 * answers by less than 100 ms. */
constexpr double mbps_per_read = 8;
constexpr double max_reads = 16;

} // namespace

void read_limiter::run(std::function<void()> start) {
    if (reads_ == max_reads_) {
        waiting_.push_back(std::move(start));
        return;
    }
    ++reads_;
    start();
}

void read_limiter::finished() {
    --reads_;
    if (waiting_.empty()) {
        return;
    }
    const auto start = std::move(waiting_.front());
    waiting_.pop_front();
    ++reads_;
    start();
}

std::size_t max_page_reads(double link_mbps) {
    return static_cast<std::size_t>(std::clamp(link_mbps / mbps_per_read, 1.0, max_reads));
}

} // namespace fulmarworks::node
