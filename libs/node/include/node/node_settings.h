#pragma once

#include "base/error.h"
#include "node/resource_limits.h"
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
    /** IP:PORT of the caller API. */
    std::string caller_address;
    /** IP:PORT of the readiness probe. */
    std::string readiness_address;
    /** Port for calls between entry hosts and for metrics. */
    std::uint16_t internal_port = 7000;
    /** IP:PORT of the platform's store. */
    std::string store_address;
    /** Partitions that the store allows for a topic; the same on all hosts, and never changed. */
    std::uint32_t store_partitions = 1;
    /** Share of a processor core available to this host. */
    double cpu_share = 1;
    /** Capacity of this host's network link in megabits per second. */
    double link_mbps = 1000;
    /** Time that the platform leaves between SIGTERM and SIGKILL. */
    time_ms stop_grace_ms = 6000;
    /** Time within which a published configuration must be in force on every entry host. */
    time_ms configuration_bound_ms = 2000;
    scheduler::settings limits;
    /** Applied at the start of the process. */
    resource_limits resources;

    /** Returns IP:PORT for calls between entry hosts. */
    [[nodiscard]] std::string internal_address() const;
};

/** Parses and checks a settings file; an error lists every invalid setting. Thread safe. */
[[nodiscard]] result<node_settings> parse_node_settings(std::string_view yaml);

} // namespace fulmarworks::node
