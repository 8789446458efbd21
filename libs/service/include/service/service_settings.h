#pragma once

#include "base/error.h"
#include "instance/instance_settings.h"

#include <string>
#include <string_view>

namespace fulmarworks {

/** Settings of one process: addresses, failure domain and limits. */
struct service_settings {
    instance_settings instance;
    std::string log_address;
    std::string log_stream = "fulmarworks";
    std::string host_list_address;
};

/**
 * Parses and validates the YAML settings; the error lists all violations. Never throws. Thread
 * safe.
 */
[[nodiscard]] result<service_settings> parse_service_settings(std::string_view yaml);

} // namespace fulmarworks
