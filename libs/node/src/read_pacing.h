#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstddef>

namespace fulmarworks::node {

/**
 * Size and timeout of the reads that follow a log. A read asks for little at first, so that the
 * first answer after an outage comes in time although many hosts read at once; the size doubles
 * while records are left. The timeout is short, because a connection may be silent, and doubles
 * once after a failure, because a slow store needs longer.
 */
class read_pacing {
public:
    [[nodiscard]] std::size_t max_kb() const { return max_kb_; }
    [[nodiscard]] time_ms timeout_ms() const { return timeout_ms_; }

    /** Records a read after which no record was left. */
    void complete() { *this = {}; }

    /** Records a read after which records were left. */
    void partial() {
        max_kb_ = std::min(2 * max_kb_, largest_read_kb);
        timeout_ms_ = min_timeout_ms;
    }

    void failed() {
        max_kb_ = first_read_kb;
        timeout_ms_ = std::min(2 * timeout_ms_, max_timeout_ms);
    }

private:
    /** Large enough for the largest record of the store, whatever it counts beside the record. */
    static constexpr std::size_t first_read_kb = 320;
    /** The store's own limit. */
    static constexpr std::size_t largest_read_kb = 1024;
    static constexpr time_ms min_timeout_ms = 700;
    static constexpr time_ms max_timeout_ms = 1100;

    std::size_t max_kb_ = first_read_kb;
    time_ms timeout_ms_ = min_timeout_ms;
};

} // namespace fulmarworks::node
