#pragma once

#include "base/time.h"

#include <algorithm>

namespace fulmarworks {

/**
 * Clock for timeouts of calls that only this process's event loop can complete: it stands still
 * while the loop doesn't turn. Each turn counts for `longest_turn_ms` at most, so a process that
 * isn't run, or is busy, doesn't take its own delay for the silence of others. Not thread safe.
 */
class attentive_clock {
public:
    /** Starts at 0. */
    explicit attentive_clock(time_ms monotonic_ms) : advanced_at_(monotonic_ms) {}

    /** Records that the loop turns. */
    void advance(time_ms monotonic_ms) {
        now_ = at(monotonic_ms);
        advanced_at_ = monotonic_ms;
    }

    /** Returns the time of the last turn. */
    [[nodiscard]] time_ms now() const { return now_; }

    /** Returns the time that `advance` would record now. */
    [[nodiscard]] time_ms at(time_ms monotonic_ms) const {
        return now_ + std::clamp<time_ms>(monotonic_ms - advanced_at_, 0, longest_turn_ms);
    }

private:
    static constexpr time_ms longest_turn_ms = 50;

    time_ms advanced_at_;
    time_ms now_ = 0;
};

} // namespace fulmarworks
