#pragma once

#include "http/event_loop.h"
#include "node/decision_log.h"
#include "node/metrics.h"
#include "platform/store_client.h"

#include <functional>
#include <memory>
#include <vector>

namespace fulmarworks::node {

struct progress_writer_context {
    event_loop& loop;
    platform::store_client& store;
    decision_log& log;
    metrics& counters;
    /** Term of the writer; the store refuses writers of earlier terms. */
    std::uint64_t epoch = 0;
    /** Called once no earlier term can write any more. */
    std::function<void()> on_fenced_others;
    /** Called when the open batch is stored. */
    std::function<void()> on_stored;
    /** Called when a writer of a later term has shown itself. */
    std::function<void()> on_deposed;
};

/**
 * Writes the progress of jobs, one batch at a time. A batch without an answer is sent again with
 * the same sequence number, by which the store recognises it. Not thread safe.
 */
class progress_writer {
public:
    /** Starts by fencing earlier writers off. Precondition: what `context` names outlives this. */
    explicit progress_writer(progress_writer_context context);
    ~progress_writer();
    progress_writer(const progress_writer&) = delete;
    progress_writer& operator=(const progress_writer&) = delete;

    /** Stores a batch. Precondition: none is open. */
    void write(std::vector<platform::keyed_record> batch);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
