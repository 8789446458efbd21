#include "node/decision_log.h"

#include "base/digest.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace fulmarworks::node {

namespace {

/** Limit per event; the most frequent event needs about 40 per second on a day at the platform's
 * size. */
constexpr std::uint32_t max_lines_per_second = 200;
/** The same for lines of sampled requests. One in 16 of the tasks that the platform's largest
 * deployment starts in a second has 60 lines of an event. */
constexpr std::uint32_t max_sampled_lines_per_second = 200;
constexpr std::uint32_t sampled_interval = 16;
constexpr std::string_view request_field = "request=";
/** Limit of the bytes buffered for a slow reader. */
constexpr std::size_t buffer_limit_bytes = 128 * 1024;
/** Limit of the fields of a line, which may quote data from outside. */
constexpr std::size_t max_fields_bytes = 2048;
/** Bytes that are buffered before a write, to save system calls. */
constexpr std::size_t write_size_bytes = 4096;

/** Returns the request that a line names; empty if it names none. */
std::string_view request_of(std::string_view fields) {
    const auto begin = fields.find(request_field);
    if (begin == std::string_view::npos) {
        return {};
    }
    fields.remove_prefix(begin + request_field.size());
    return fields.substr(0, fields.find(' '));
}

} // namespace

bool is_sampled(std::string_view request) {
    return !request.empty() && hash64(request) % sampled_interval == 0;
}

decision_log::decision_log(std::string name) : name_(std::move(name)) {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL, 0);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void decision_log::append_line(std::string_view event, std::string_view fields) {
    fields = fields.substr(0, max_fields_bytes);
    if (buffer_.size() + event.size() + fields.size() > buffer_limit_bytes) {
        ++dropped_lines_;
        return;
    }
    buffer_ += "ts=" + std::to_string(wall_now()) + " node=" + name_ + " event=";
    buffer_ += event;
    buffer_ += ' ';
    const std::size_t start = buffer_.size();
    buffer_ += fields;
    std::replace_if(
        buffer_.begin() + static_cast<std::ptrdiff_t>(start), buffer_.end(),
        [](unsigned char c) { return std::iscntrl(c) != 0; }, '?');
    buffer_ += '\n';
}

void decision_log::reset_budgets(time_ms second) {
    current_second_ = second;
    for (auto& [event, b] : budgets_) {
        if (b.suppressed > 0) {
            append_line("suppressed", "kind=" + event + " lines=" + std::to_string(b.suppressed));
        }
        b = {};
    }
}

void decision_log::write(std::string_view event, std::string_view fields) {
    const time_ms second = monotonic_now() / milliseconds_per_second;
    if (second != current_second_) {
        reset_budgets(second);
    }
    auto found = budgets_.find(event);
    if (found == budgets_.end()) {
        found = budgets_.emplace(std::string(event), event_budget{}).first;
    }
    event_budget& budget = found->second;
    const bool sampled = is_sampled(request_of(fields));
    const bool exceeded = sampled ? ++budget.sampled > max_sampled_lines_per_second
                                  : ++budget.used > max_lines_per_second;
    if (exceeded) {
        ++budget.suppressed;
        return;
    }
    append_line(event, fields);
    if (buffer_.size() >= write_size_bytes) {
        flush();
    }
}

void decision_log::flush() {
    while (!buffer_.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, buffer_.data(), buffer_.size());
        if (written > 0) {
            buffer_.erase(0, static_cast<std::size_t>(written));
            continue;
        }
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0 && errno != EAGAIN) {
            buffer_.clear(); // nothing reads the output any more
        }
        break;
    }
    if (dropped_lines_ > 0 && buffer_.size() < buffer_limit_bytes / 2) {
        const std::uint64_t lines = dropped_lines_;
        dropped_lines_ = 0;
        append_line("dropped", "reason=slow_reader lines=" + std::to_string(lines));
    }
}

} // namespace fulmarworks::node
