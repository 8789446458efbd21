#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>

namespace fulmarworks {

/** Limits and intervals of one instance. */
struct instance_limits {
    /** Number of records waiting to be appended at which new requests are refused. */
    int max_pending_records = 20000;
    int max_batch_records = 256;
    /** Minimum time between two appends of a lane. */
    time_ms urgent_append_interval_ms = 10;
    time_ms bulk_append_interval_ms = 40;
    time_ms append_timeout_ms = 2000;
    /** The log counts as unavailable after this long without an answer. */
    time_ms log_silence_ms = 3000;
    time_ms worker_poll_wait_ms = 1500;
    time_ms worker_timeout_ms = 2800;
    time_ms worker_lease_ms = 10000;
    time_ms announce_interval_ms = 250;
    time_ms peer_timeout_ms = 800;
    /**
     * A suspected peer is removed if it does not answer within this time plus a multiple of the
     * append latency.
     */
    time_ms suspicion_timeout_ms = 300;
    time_ms shutdown_limit_ms = 20000;
    time_ms max_wait_ms = 60000;
    int max_waiting_callers = 10000;
    std::uint64_t snapshot_interval_records = 2000;
    time_ms snapshot_interval_ms = 5 * milliseconds_per_minute;
    std::uint64_t max_payload_bytes = 16384;
    std::uint64_t max_body_bytes = 262144;
};

struct instance_settings {
    std::string name;
    /** Increases with each start of an instance of this name. */
    std::uint64_t incarnation = 0;
    std::string api_address;
    std::string peer_address;
    std::string failure_domain;
    instance_limits limits;
};

} // namespace fulmarworks
