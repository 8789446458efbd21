#pragma once

#include "http/http_server.h"
#include "node/decision_log.h"
#include "node/metrics.h"
#include "node/resource_limits.h"

#include <array>
#include <map>
#include <memory>
#include <string_view>
#include <utility>

namespace fulmarworks::node {

/** Ports of an entry host that clients connect to. */
enum class client_port { callers, readiness, internal };

/**
 * The servers of an entry host under one account of memory, so that clients of one port can't take
 * what the others need. Counts the limits that were applied to clients, and logs their numbers at
 * most once a second for each port and limit. Not thread safe.
 */
class client_ports {
public:
    /** Both references must outlive the object and all servers that are built with it. */
    client_ports(const resource_limits& limits, decision_log& log, metrics& counters);

    /** Returns a builder of the server of one port with its limits, without address and handlers of
     * requests. */
    [[nodiscard]] http_server::Builder builder(client_port port);

    /** Logs the limits that were applied since the last line. */
    void log_applied_limits(time_ms now_ms);

    /** Sets the gauges of the memory held for clients. */
    void export_memory() const;

private:
    void record(client_port port, client_limit limit);

    resource_limits limits_;
    decision_log& log_;
    metrics& counters_;
    std::shared_ptr<client_memory> memory_;
    std::map<std::pair<client_port, client_limit>, std::uint64_t> unlogged_;
    time_ms logged_at_ms_ = 0;
};

} // namespace fulmarworks::node
