#pragma once

#include "http/http_client.h"
#include "node/metrics.h"
#include "peers.h"
#include "platform/worker_client.h"
#include "start_routing.h"

#include <functional>
#include <memory>
#include <string>

namespace fulmarworks::node {

/** What a start sender uses of its leader. */
struct start_sender_context {
    http_client& http;
    platform::worker_client& workers;
    peers& peer_hosts;
    metrics& counters;
    std::uint64_t fencing_token = 0;
    start_routing routing;
};

/**
 * Sends the leader's starts, directly or through other entry hosts: through the host that accepted
 * the job, which has its payload, or through any other if that one fails. Not thread safe.
 */
class start_sender {
public:
    using answer_handler = std::function<void(const scheduler::start_answered&)>;

    /** Precondition: all references in `context` outlive the sender. */
    explicit start_sender(start_sender_context context);
    ~start_sender();
    start_sender(const start_sender&) = delete;
    start_sender& operator=(const start_sender&) = delete;

    /** Sends a start; `accepted_by` is the internal address of the host that accepted the job, or
     * empty. Starts for other hosts are held until `flush`. Calls `done` exactly once, unless the
     * sender is destroyed first. */
    void send(scheduler::send_start order, const std::string& accepted_by, answer_handler done);

    /** Sends the held starts, one batch a host. */
    void flush();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
