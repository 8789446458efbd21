#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fulmarworks::node {

/** Returns whether a request is among the one in 16 whose lines have a limit of their own. The
 * choice is the same on all hosts. Thread safe. */
[[nodiscard]] bool is_sampled(std::string_view request);

/**
 * Writes one structured line per decision to standard output without blocking.
 *
 * Lines are held in a bounded buffer while the reader is slow. When the buffer is full, lines are
 * dropped and their number is logged as `dropped`. Each event is limited to a number of lines per
 * second; the number of lines above the limit is logged as `suppressed`. Lines of the requests that
 * `is_sampled` chooses have a limit of their own, so that all hosts log these requests completely
 * under loads at which the other lines are cut.
 *
 * Not thread safe.
 */
class decision_log {
public:
    /** Makes standard output non-blocking. Precondition: `name` has no spaces. */
    explicit decision_log(std::string name);

    /** Adds a line; `fields` has the form "key=value key=value". */
    void write(std::string_view event, std::string_view fields);

    /** Writes as much of the buffer as the reader accepts, and logs the number of dropped lines. */
    void flush();

private:
    /** Lines of one event in the current second. */
    struct event_budget {
        std::uint32_t used = 0;
        /** Lines of sampled requests. */
        std::uint32_t sampled = 0;
        std::uint32_t suppressed = 0;
    };

    void append_line(std::string_view event, std::string_view fields);
    void reset_budgets(time_ms second);

    std::string name_;
    std::string buffer_;
    std::map<std::string, event_budget, std::less<>> budgets_;
    /** Current second of the monotonic clock. */
    time_ms current_second_ = 0;
    std::uint64_t dropped_lines_ = 0;
};

} // namespace fulmarworks::node
