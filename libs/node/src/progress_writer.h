#pragma once

#include "http/event_loop.h"
#include "node/decision_log.h"
#include "node/metrics.h"
#include "platform/store_client.h"

#include <functional>
#include <memory>
#include <vector>

namespace fulmarworks::node {

/** What a progress writer uses of its process. */
struct progress_writer_context {
    event_loop& loop;
    platform::store_client& store;
    decision_log& log;
    metrics& counters;
    /** Epoch of the writer's term; the store refuses writers of earlier terms. */
    std::uint64_t epoch = 0;
    /** Called once the store refuses writes of all earlier terms. */
    std::function<void()> on_earlier_writers_fenced;
    /** Called when the pending batch is stored. */
    std::function<void()> on_stored;
    /** Called when the store reports a writer of a later term. */
    std::function<void()> on_deposed;
};

/**
 * Writes the progress of jobs, one batch at a time, in as many appends as its size needs. An append
 * without an answer is retried with the same sequence number, by which the store detects
 * duplicates. If the writer is deposed, only the first appends may be stored: the batch is atomic
 * for each job, not as a whole. Not thread safe.
 */
class progress_writer {
public:
    /** Fences the writers of earlier terms. Precondition: all references in `context` outlive the
     * writer. */
    explicit progress_writer(progress_writer_context context);
    ~progress_writer();
    progress_writer(const progress_writer&) = delete;
    progress_writer& operator=(const progress_writer&) = delete;

    /** Stores a batch. Precondition: no batch is pending, and `batch` isn't empty. */
    void write(std::vector<platform::keyed_record> batch);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
