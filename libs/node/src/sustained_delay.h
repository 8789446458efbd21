#pragma once

#include "base/time.h"

namespace fulmarworks::node {

/**
 * Tells a host that can't keep up with its work from one that was late once: whether its event loop
 * was late for half of a window of some seconds. Not thread safe.
 */
class sustained_delay {
public:
    /** Begins a new window. */
    void reset(time_ms now_ms);

    /** Adds a delay of the loop; returns whether a window has ended in which it was late for long.
     */
    bool add(time_ms now_ms, time_ms delay_ms);

private:
    time_ms window_begin_ms_ = 0;
    time_ms late_ms_ = 0;
};

} // namespace fulmarworks::node
