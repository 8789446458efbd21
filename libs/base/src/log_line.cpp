#include "base/log_line.h"

#include <algorithm>
#include <glog/logging.h>
#include <iomanip>

namespace fulmarworks {

namespace {

bool is_printable(char c) {
    return c >= ' ' && c <= '~';
}

} // namespace

std::string log_text(std::string_view text, std::size_t max_bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    const std::string_view shown = text.substr(0, max_bytes);
    const bool plain = !text.empty() && shown.size() == text.size() &&
                       std::all_of(text.begin(), text.end(), is_printable) &&
                       text.find_first_of(" \"\\=") == std::string_view::npos;
    if (plain) {
        return std::string(text);
    }
    std::string quoted = "\"";
    for (const char c : shown) {
        const auto byte = static_cast<unsigned char>(c);
        if (!is_printable(c)) {
            quoted += "\\x";
            quoted += digits[byte >> 4U];
            quoted += digits[byte & 0xfU];
            continue;
        }
        if (c == '"' || c == '\\') {
            quoted += '\\';
        }
        quoted += c;
    }
    return quoted + (shown.size() < text.size() ? "...\"" : "\"");
}

log_line::log_line(log_level level, std::string_view event) : level_(level) {
    text_ << "event=" << event;
}

log_line::~log_line() {
    switch (level_) {
    case log_level::info: LOG(INFO) << text_.str(); return;
    case log_level::warning: LOG(WARNING) << text_.str(); return;
    case log_level::error: LOG(ERROR) << text_.str(); return;
    }
}

log_line& log_line::field(std::string_view key, std::string_view value) {
    text_ << ' ' << key << '=';
    if (value.find_first_of(" \"\n\r=") == std::string_view::npos && !value.empty()) {
        text_ << value;
    } else {
        text_ << std::quoted(value);
    }
    return *this;
}

log_line& log_line::field(std::string_view key, long long value) {
    text_ << ' ' << key << '=' << value;
    return *this;
}

} // namespace fulmarworks
