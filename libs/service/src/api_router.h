#pragma once

#include "adapters/worker_client.h"
#include "http/http_server.h"
#include "instance/reduce.h"

#include <functional>

namespace fulmarworks {

/** Parts of the instance that the router uses. */
struct router_context {
    const instance_state& state;
    http_server& server;
    worker_client& workers;
    /** Passes an event to the instance. */
    std::function<void(const event&)> handle;
    /** Returns the metrics in the Prometheus text format. */
    std::function<std::string()> metrics;
    /** Calls an action once, after a delay in milliseconds. */
    std::function<void(time_ms, std::function<void()>)> after;
};

/** Responds to a request or passes it on as an event. docs/API.md specifies the calls. */
void route_request(router_context& c, const http_request& request, std::uint64_t token);

} // namespace fulmarworks
