#pragma once

#include "base/time.h"

namespace fulmarworks::node {

/** How late the event loop ran its periodic work once. */
struct loop_delay {
    time_ms delay_ms = 0;
    /** Processor time that this process used meanwhile: about `delay_ms` if it was busy itself,
     * much less if the system didn't run it. */
    time_ms cpu_ms = 0;
};

/**
 * Measures how late the event loop runs work that is due at a fixed interval, so that the logs tell
 * a late process from a slow peer. Not thread safe.
 */
class loop_monitor {
public:
    explicit loop_monitor(time_ms interval_ms) : interval_ms_(interval_ms) {}

    /** Records that the periodic work runs now, and returns its delay. */
    loop_delay tick();

    /** Returns the longest delay within the last seconds. */
    [[nodiscard]] time_ms recent_delay_ms() const;

private:
    time_ms interval_ms_;
    time_ms ticked_at_ms_ = 0;
    time_ms cpu_at_tick_ms_ = 0;
    time_ms longest_delay_ms_ = 0;
    time_ms longest_delay_at_ms_ = 0;
};

} // namespace fulmarworks::node
