#pragma once

#include "instance/instance_state.h"

#include <cstdint>
#include <map>
#include <string>

namespace fulmarworks {

/** What a process counts outside of its instance. */
struct process_counts {
    /** Bytes exchanged with the platform and workers. */
    std::uint64_t bytes_transferred = 0;
    /** Memory held for clients in bytes. */
    std::uint64_t client_memory_bytes = 0;
    std::uint64_t client_connections = 0;
    /** How often each limit was applied to a client, by its name. */
    std::map<std::string, std::uint64_t> client_limits;
};

/** Returns all metrics of an instance in the Prometheus text format. */
[[nodiscard]] std::string render_metrics(const instance_state& s, const process_counts& counts);

/** Returns the share of free accelerators that the largest guarantee can't use; 0 without
 * guarantees. */
[[nodiscard]] double fragmentation_of(const ledger_state& s);

} // namespace fulmarworks
