#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fulmarworks::node {

/**
 * Writes one structured line for each decision to standard output. Never blocks: lines wait in a
 * bounded buffer while the reader is slow and are dropped, and counted, when it is full. Each kind
 * of line has a budget for each second; what goes beyond is counted in a `suppressed` line.
 *
 * Not thread safe.
 */
class decision_log {
public:
    /** Makes standard output non-blocking. Precondition: `name` has no spaces. */
    explicit decision_log(std::string name);

    /** Adds a line; `fields` is key=value text. */
    void write(std::string_view event, std::string_view fields);

    /** Writes out what waits, as far as the reader takes it, and reports what was dropped. */
    void flush();

private:
    struct budget {
        std::uint32_t used = 0;
        std::uint32_t suppressed = 0;
    };

    void append_line(std::string_view event, std::string_view fields);
    void start_second(time_ms second);

    std::string name_;
    std::string buffer_;
    std::map<std::string, budget, std::less<>> budgets_;
    time_ms second_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace fulmarworks::node
