#pragma once

#include "http/http_client.h"
#include "http/http_server.h"
#include "node/metrics.h"
#include "payload_cache.h"
#include "platform/worker_client.h"

#include <functional>

namespace fulmarworks::node {

/**
 * Sends starts to workers on behalf of the leader, so that the payloads of the jobs don't all pass
 * the leader's link.
 *
 * Needs no knowledge of who leads: each start carries the leader's fencing token, which a worker
 * compares with the highest it has seen, and a deadline on the worker's clock, so that a start
 * which this host sends late has no effect. Not thread safe.
 */
class start_relay {
public:
    /** Precondition: all references outlive the relay. */
    start_relay(http_client& http, payload_cache& payloads, metrics& counters);

    /** Handles a batch of starts and calls `respond` once, after all workers have answered or timed
     * out. Returns false if `request` is no batch of starts. */
    bool handle(const http_request& request,
                const std::function<void(const http_response&)>& respond);

private:
    platform::worker_client workers_;
    payload_cache& payloads_;
    metrics& counters_;
};

} // namespace fulmarworks::node
