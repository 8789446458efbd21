#pragma once

#include "http/event_loop.h"
#include "node/decision_log.h"
#include "node/metrics.h"
#include "peers.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "scheduler/coordinator.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fulmarworks::node {

/** What a leader uses of its process. Precondition: all references outlive the leader. */
struct leader_context {
    event_loop& loop;
    http_client& http;
    platform::store_client& store;
    decision_log& log;
    metrics& counters;
    /** Hosts through which starts are sent while this host's link is full. */
    peers& peer_hosts;
    double link_mbps = 0;
    scheduler::settings limits;
    /** Returns whether this host may give orders as the leader at a monotonic time. */
    std::function<bool(time_ms)> may_act;
};

/** What the operator wants the coordinator to respect. */
struct operator_requests {
    scheduler::guarantees guarantees;
    std::set<std::string> evacuated_domains;
    scheduler::queue_policies queues;
};

/** Answer to the query or the cancellation of a job. */
struct job_answer {
    /** Whether the leader could answer; the other members are meaningless otherwise. */
    bool ready = false;
    /** Whether the job exists. */
    bool known = false;
    /** Name of the job's state; empty for an unknown job and after a cancellation. */
    std::string state;
};

/**
 * One term of leadership: fences the previous leader, recovers the state from the store, and runs
 * the coordinator until it is destroyed. Not thread safe.
 */
class leader {
public:
    /**
     * Starts a term. `on_deposed` is called asynchronously, once, if the store or a worker reports
     * a newer leader, or if the leader may no longer act. Preconditions: `epoch` is greater than
     * that of every earlier term, and no earlier leader gives orders after
     * `earlier_orders_until_ms`.
     */
    leader(const leader_context& context, std::uint64_t epoch, time_ms earlier_orders_until_ms,
           operator_requests requests, std::function<void()> on_deposed);
    ~leader();
    leader(const leader&) = delete;
    leader& operator=(const leader&) = delete;

    /** Returns whether the state is recovered and the leader was not deposed. */
    [[nodiscard]] bool ready() const;

    /** Applies changed requests of the operator. */
    void set_requests(const operator_requests& requests);

    /** Calls `done` with the state of a job. For an unknown job, reads all submissions stored so
     * far first. */
    void query(const std::string& job, std::function<void(const job_answer&)> done);

    /** Cancels a job; calls `done` once the cancellation is stored. */
    void cancel(const std::string& job, std::function<void(const job_answer&)> done);

    /** Returns the coordinator's state; null unless ready. */
    [[nodiscard]] const scheduler::coordinator_state* state() const;

    /** Returns the number of jobs of a queue that have not been started; 0 unless ready. */
    [[nodiscard]] std::size_t pending(const std::string& queue) const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
