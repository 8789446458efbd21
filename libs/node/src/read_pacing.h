#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstddef>

namespace fulmarworks::node {

/**
 * Size of the reads that follow a log. A read asks for little at first, so that the first answer
 * after an outage comes in time although many hosts read at once; the size doubles while records
 * are left, up to half of what a read failed with.
 */
class read_pacing {
public:
    /** Time without a byte of the answer after which a read is given up, in addition to its wait at
     * the store: short, as a connection may be silent, and long enough for a slow store. */
    static constexpr time_ms timeout_ms = 700;

    [[nodiscard]] std::size_t max_kb() const { return max_kb_; }

    /** Records a read after which no record was left. */
    void complete() { *this = {}; }

    /** Records a read after which records were left. */
    void partial() { max_kb_ = std::min(2 * max_kb_, limit_kb_); }

    void failed() {
        limit_kb_ = std::max(max_kb_ / 2, first_read_kb);
        max_kb_ = first_read_kb;
    }

private:
    /** Large enough for the largest record of the store, whatever it counts beside the record. */
    static constexpr std::size_t first_read_kb = 320;
    /** The store's own limit. */
    static constexpr std::size_t largest_read_kb = 1024;

    std::size_t max_kb_ = first_read_kb;
    std::size_t limit_kb_ = largest_read_kb;
};

} // namespace fulmarworks::node
