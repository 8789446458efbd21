#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace fulmarworks {

/**
 * Returns a text from outside as the value of a field in a log line: quoted unless it is a plain
 * word, with control and non-ASCII bytes, quotes and backslashes escaped, and cut after
 * `max_bytes` bytes. Thread safe.
 */
[[nodiscard]] std::string log_text(std::string_view text, std::size_t max_bytes = 128);

enum class log_level { info, warning, error };

/**
 * A structured log line of key=value fields, written by the destructor.
 *
 *     log_line(log_level::info, "job_accepted").field("job", id).field("account", account);
 *
 * Not thread safe; use each line on one thread.
 */
class log_line {
public:
    /** Precondition: `event` is a lower-case word without spaces. */
    log_line(log_level level, std::string_view event);
    ~log_line();
    log_line(const log_line&) = delete;
    log_line& operator=(const log_line&) = delete;

    /**
     * Adds a text field. Quotes a value that is empty or has spaces, quotes, equals signs or line
     * breaks.
     */
    log_line& field(std::string_view key, std::string_view value);

    /** Adds a numeric field. */
    log_line& field(std::string_view key, long long value);

private:
    log_level level_;
    std::ostringstream text_;
};

} // namespace fulmarworks
