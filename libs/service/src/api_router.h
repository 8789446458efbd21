#pragma once

#include "adapters/worker_client.h"
#include "http/http_server.h"
#include "instance/reduce.h"

#include <functional>

namespace fulmarworks {

/** What the router needs of the instance around it. */
struct router_context {
    const instance_state& state;
    http_server& server;
    worker_client& workers;
    std::function<void(const event&)> handle;
    std::function<std::string()> metrics;
    /** Calls an action once, after a delay. */
    std::function<void(time_ms, std::function<void()>)> after;
};

/** Answers a request or turns it into an event. docs/API.md specifies the calls. */
void route_request(router_context& c, const http_request& request, std::uint64_t token);

} // namespace fulmarworks
