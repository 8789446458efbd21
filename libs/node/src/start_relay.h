#pragma once

#include "http/http_client.h"
#include "http/http_server.h"
#include "node/metrics.h"
#include "payload_cache.h"
#include "platform/worker_client.h"
#include "start_batch.h"

#include <functional>
#include <memory>
#include <string>

namespace fulmarworks::node {

/**
 * Sends starts to workers on behalf of the leader, so that the payloads of the jobs don't all pass
 * the leader's link.
 *
 * Needs no knowledge of who leads: each start carries the leader's fencing token, which a worker
 * compares with the highest it has seen, and a deadline on the worker's clock. A worker that starts
 * again forgets both, so a batch also says until when its starts may be sent, as a time on this
 * host's clock: a host that was suspended or is slow doesn't send what the leader gave up long ago.
 * A batch for another life of this process, or for an unknown one, is not sent; the answer tells
 * the leader this process and its clock. Not thread safe.
 */
class start_relay {
public:
    /** Sends at most `max_open_starts` at a time; others are not sent. Precondition: all references
     * outlive the relay. */
    start_relay(http_client& http, payload_cache& payloads, metrics& counters,
                std::size_t max_open_starts = 256);

    /** Returns this process and its clock. */
    [[nodiscard]] clock_reading clock() const;

    /** Handles a batch of starts and calls `respond` once, after all workers have answered or timed
     * out. Returns false if `request` is no batch of starts. */
    bool handle(const http_request& request,
                const std::function<void(const http_response&)>& respond);

private:
    /** Returns the payload of a start that may be sent now; null after recording why not. */
    const std::string* find_payload(const start_batch& batch, const scheduler::send_start& order,
                                    start_result& outcome);

    /** Random, so that no earlier life of the process has it. */
    std::string process_;
    platform::worker_client workers_;
    payload_cache& payloads_;
    metrics& counters_;
    std::size_t max_open_starts_;
    /** Starts whose workers have not answered; shared with the callbacks of their calls. */
    std::shared_ptr<std::size_t> open_starts_ = std::make_shared<std::size_t>(0);
};

} // namespace fulmarworks::node
