#include "logs/log_record.h"

#include <algorithm>
#include <charconv>

namespace fulmarworks::logs {

namespace {

/** Removes the first `key=value` from `rest` and returns it; a quoted value may contain spaces. */
std::optional<std::pair<std::string_view, std::string_view>> extract_field(std::string_view& rest) {
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    const auto equals = rest.find('=');
    if (equals == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view key = rest.substr(0, equals);
    rest.remove_prefix(equals + 1);
    const bool quoted = !rest.empty() && rest.front() == '"';
    if (quoted) {
        rest.remove_prefix(1);
    }
    const auto end = std::min(rest.find(quoted ? '"' : ' '), rest.size());
    const std::string_view value = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return std::pair(key, value);
}

} // namespace

std::string_view log_record::field(std::string_view name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<log_record> parse_log_line(std::string_view text) {
    const auto begin = text.find("ts=");
    if (begin == std::string_view::npos || (begin > 0 && text[begin - 1] != ' ')) {
        return std::nullopt;
    }
    text.remove_prefix(begin);
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
        text.remove_suffix(1);
    }
    log_record line;
    while (const auto field = extract_field(text)) {
        const auto& [key, value] = *field;
        if (key == "ts") {
            const auto read =
                std::from_chars(value.data(), value.data() + value.size(), line.timestamp_ms);
            if (read.ec != std::errc{}) {
                return std::nullopt;
            }
        } else if (key == "node") {
            line.node = value;
        } else if (key == "event") {
            line.event = value;
        } else {
            line.fields.emplace(key, value);
        }
    }
    if (line.timestamp_ms == 0 || line.node.empty() || line.event.empty()) {
        return std::nullopt;
    }
    return line;
}

} // namespace fulmarworks::logs
