#pragma once

#include "base/error.h"
#include "instance/instance_settings.h"

#include <string>
#include <string_view>

namespace fulmarworks {

/** Memory and descriptors of an instance, and how much of them its clients may take. */
struct resource_limits {
    /** Memory of the process in MiB. */
    std::size_t memory_mb = 512;
    /** Descriptors of the process. */
    std::size_t max_open_files = 4096;
    /** Memory in MiB for what clients send ahead, hold open or leave unread. */
    std::size_t client_memory_mb = 128;
    /** Bytes of a request line with all headers. */
    std::size_t max_head_bytes = 16 * std::size_t{1024};
    /** Time for a request to arrive, or for a client to take an answer; large ones get more. */
    time_ms transfer_timeout_ms = 30 * milliseconds_per_second;
    /** Connections of callers and operators. */
    std::size_t max_connections = 2048;
    /** Connections of other instances. */
    std::size_t max_peer_connections = 256;
};

/** Settings of one process: addresses, failure domain and limits. */
struct service_settings {
    instance_settings instance;
    std::string log_address;
    std::string log_stream = "fulmarworks";
    std::string host_list_address;
    resource_limits resources;
};

/**
 * Parses and validates the YAML settings; the error lists all violations. Never throws. Thread
 * safe.
 */
[[nodiscard]] result<service_settings> parse_service_settings(std::string_view yaml);

} // namespace fulmarworks
