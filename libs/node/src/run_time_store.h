#pragma once

#include "http/event_loop.h"
#include "node/decision_log.h"
#include "node/metrics.h"
#include "platform/store_client.h"
#include "run_times/run_time_model.h"

#include <cstdint>
#include <memory>

namespace fulmarworks::node {

/** What a run time store uses of its leader. Precondition: all references outlive the store. */
struct run_time_store_context {
    event_loop& loop;
    platform::store_client& store;
    decision_log& log;
    metrics& counters;
    /** Epoch of the leader's term; the store refuses writers of earlier terms. */
    std::uint64_t epoch = 0;
    /** Restored from the store once, then written to it as it changes. Its times are readings of
     * `boottime_now`. */
    run_times::run_time_model& model;
};

/**
 * Keeps a leader's learned run times in the platform's store. Nothing waits for it: reads and
 * writes that fail are repeated later, and a writer of a later term only ends the writes, since the
 * lease and the progress end the leader's term. Not thread safe.
 */
class run_time_store {
public:
    /** Starts to read the stored values. Precondition: the leader is ready. */
    explicit run_time_store(const run_time_store_context& context);
    ~run_time_store();
    run_time_store(const run_time_store&) = delete;
    run_time_store& operator=(const run_time_store&) = delete;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
