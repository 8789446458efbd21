#pragma once

#include "base/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarworks::logs {

/** A parsed structured log line of an entry host. */
struct log_record {
    /** Wall clock of the host, in milliseconds since the Unix epoch. */
    time_ms timestamp_ms = 0;
    std::string node;
    std::string event;
    /** Values of all other fields by key, without quotes. */
    std::map<std::string, std::string, std::less<>> fields;

    /** Returns the value of a field, or an empty text if the line lacks it. Thread safe. */
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/**
 * Parses a structured log line. Skips text before `ts=`, such as the prefix of a log collector.
 * Returns nothing for other text. Thread safe.
 */
[[nodiscard]] std::optional<log_record> parse_log_line(std::string_view text);

} // namespace fulmarworks::logs
