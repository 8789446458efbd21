#pragma once

#include "base/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarworks::logs {

/** One structured line that an entry host wrote. */
struct log_record {
    /** Wall clock of the host. */
    time_ms timestamp_ms = 0;
    std::string node;
    std::string event;
    /** The other fields, without quotes. */
    std::map<std::string, std::string, std::less<>> fields;

    /** Returns a field; empty if the line has none of that name. Thread safe. */
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/**
 * Parses a line; text before `ts=`, as collectors put it there, is skipped. Returns nothing for
 * text that is no such line. Thread safe.
 */
[[nodiscard]] std::optional<log_record> parse_log_line(std::string_view text);

} // namespace fulmarworks::logs
