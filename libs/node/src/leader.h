#pragma once

#include "http/event_loop.h"
#include "node/decision_log.h"
#include "node/metrics.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "scheduler/coordinator.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fulmarworks::node {

/** What a leader needs of its process. All outlive the leader. */
struct leader_context {
    event_loop& loop;
    http_client& http;
    platform::store_client& store;
    decision_log& log;
    metrics& counters;
    scheduler::settings limits;
    /** Returns whether the term may still give orders. */
    std::function<bool()> may_act;
};

/** Answers to questions about jobs; empty states mean that no such job exists. */
struct job_answer {
    bool ready = false;
    bool known = false;
    std::string state;
};

/**
 * One term of leadership: fences the previous leader, rebuilds the state from the store, and runs
 * the coordinator until it is destroyed. Not thread safe.
 */
class leader {
public:
    /**
     * Starts a term. `on_deposed` is called, later, once a newer leader has shown itself.
     * Precondition: `epoch` is above that of every earlier term.
     */
    leader(const leader_context& context, std::uint64_t epoch, scheduler::predecessor earlier,
           scheduler::guarantees accounts, std::function<void()> on_deposed);
    ~leader();
    leader(const leader&) = delete;
    leader& operator=(const leader&) = delete;

    /** Returns whether the state is rebuilt. */
    [[nodiscard]] bool ready() const;

    void set_guarantees(const scheduler::guarantees& accounts);

    /** Reports the state of a job, after reading every submission that precedes the question. */
    void query(const std::string& job, std::function<void(const job_answer&)> done);

    /** Cancels a job; answers once that is stored. */
    void cancel(const std::string& job, std::function<void(const job_answer&)> done);

    /** Returns the number of jobs of a queue that were not begun. */
    [[nodiscard]] std::size_t pending(const std::string& queue) const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
