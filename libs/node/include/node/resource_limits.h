#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace fulmarworks::node {

/** Memory and descriptors of an entry host, and how much of them its clients may take. Clients are
 * all that connect to one of its ports: callers, probes and other entry hosts. */
struct resource_limits {
    /** Memory of the process in MiB. */
    std::size_t memory_mb = 256;
    /** Descriptors of the process. */
    std::size_t max_open_files = 4096;
    /** Memory in MiB for what clients send ahead, hold open or leave unread, on all ports. */
    std::size_t client_memory_mb = 64;
    /** Memory in MiB that accepted jobs may take in the leader; the same on all hosts. */
    std::size_t job_memory_mb = 64;
    /** Bytes of a request line with all headers. */
    std::size_t max_head_bytes = 16 * std::size_t{1024};
    /** Bytes of a body; the operator's configuration may set a lower limit for callers. */
    std::uint64_t max_body_bytes = 1024 * std::uint64_t{1024};
    /** Time for a request to arrive, or for a client to take an answer; large messages get more. */
    time_ms transfer_timeout_ms = 30 * milliseconds_per_second;
    /** Connections of callers; other entry hosts may open as many. */
    std::size_t max_connections = 1024;
    /** Calls without an answer; each may need one more descriptor. */
    std::size_t max_open_calls = 512;
    /** Starts that are sent to workers for a leader at the same time; each needs a descriptor. */
    std::size_t max_relayed_starts = 256;
};

/** Returns the limits with defaults for the given memory and descriptors: a quarter of the memory
 * for clients and for jobs each, a quarter of the descriptors for callers, and half as many open
 * calls. Thread safe. */
[[nodiscard]] resource_limits make_resource_limits(std::size_t memory_mb,
                                                   std::size_t max_open_files);

} // namespace fulmarworks::node
