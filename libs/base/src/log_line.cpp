#include "base/log_line.h"

#include <glog/logging.h>
#include <iomanip>

namespace fulmarworks {

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
