#pragma once

#include "base/time.h"

#include <algorithm>

namespace fulmarworks::node {

/**
 * Timeout of the calls that read a topic page by page. It starts short, because a connection may be
 * silent, and doubles with each failure, because a slow store takes seconds for a full page.
 */
class page_timeout {
public:
    [[nodiscard]] time_ms ms() const { return timeout_ms_; }
    void succeeded() { timeout_ms_ = min_timeout_ms; }
    void failed() { timeout_ms_ = std::min(2 * timeout_ms_, max_timeout_ms); }

private:
    static constexpr time_ms min_timeout_ms = 1500;
    static constexpr time_ms max_timeout_ms = 6000;

    time_ms timeout_ms_ = min_timeout_ms;
};

} // namespace fulmarworks::node
