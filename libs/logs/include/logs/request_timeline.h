#pragma once

#include "logs/log_record.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks::logs {

/** What the logs of all hosts tell of one request. */
struct request_timeline {
    /** The request's own lines, and what happened meanwhile to the hosts and workers in them. */
    std::vector<log_record> lines;
    /** What became of the request and why, one sentence each. */
    std::vector<std::string> findings;
};

/** Returns whether a line can matter to `request`, so that the others needn't be kept. Thread
 * safe. */
[[nodiscard]] bool may_be_relevant(const log_record& line, std::string_view request);

/**
 * Tells the story of a request from lines in any order. Clocks of hosts may differ, so lines of
 * two hosts that are close in time may be swapped. Thread safe.
 */
[[nodiscard]] request_timeline build_timeline(std::span<const log_record> lines,
                                              std::string_view request);

} // namespace fulmarworks::logs
