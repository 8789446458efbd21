#pragma once

#include "logs/log_record.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks::logs {

/** Chronological log records and findings about one request, from the logs of all hosts. */
struct request_timeline {
    /**
     * Records of the request, and events of the leader and of the hosts and workers involved, in
     * the order of their timestamps.
     */
    std::vector<log_record> lines;
    /** Outcome of the request and its causes, one sentence each. */
    std::vector<std::string> findings;
};

/**
 * Returns whether `build_timeline` may need `line` to explain `request`; other lines can be
 * discarded. Thread safe.
 */
[[nodiscard]] bool may_be_relevant(const log_record& line, std::string_view request);

/**
 * Builds the timeline of a request from lines in any order. Lines are sorted by timestamp; as the
 * clocks of hosts may differ, lines of two hosts that are close in time may be in the wrong order.
 * Thread safe.
 */
[[nodiscard]] request_timeline build_timeline(std::span<const log_record> lines,
                                              std::string_view request);

} // namespace fulmarworks::logs
