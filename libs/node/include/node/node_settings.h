#pragma once

#include "base/error.h"
#include "scheduler/settings.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarworks::node {

/** Settings of one entry host. The file is YAML; docs/OPERATORS.md lists its keys. */
struct node_settings {
    std::string name;
    std::string failure_domain;
    std::string ip;
    /** IP:PORT on which callers are served. */
    std::string caller_address;
    /** IP:PORT on which readiness is asked for. */
    std::string readiness_address;
    /** Port between entry hosts, and for metrics. */
    std::uint16_t internal_port = 7000;
    /** IP:PORT of the platform's store. */
    std::string store_address;
    /** Share of a core that this host has. */
    double cpu_share = 1;
    /** Time between SIGTERM and SIGKILL. */
    time_ms stop_grace_ms = 6000;
    /** Time within which a configuration must be in force. */
    time_ms configuration_bound_ms = 2000;
    scheduler::settings limits;

    [[nodiscard]] std::string internal_address() const;
};

/** Parses and checks a settings file; an error lists every fault. Thread safe. */
[[nodiscard]] result<node_settings> parse_node_settings(std::string_view yaml);

} // namespace fulmarworks::node
