#pragma once

#include "scheduler/worker.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fulmarworks::scheduler {

/** Latest progress of one job; an empty value deletes the stored progress. */
struct progress_record {
    std::string job;
    std::string value;
};

/**
 * Stores all records, each of them atomically; answered by `records_stored` once all are stored. At
 * most one batch is open at a time.
 */
struct store_records {
    std::vector<progress_record> records;
};

/** Deletes the submissions of ended jobs; answered by `submissions_deleted`. */
struct delete_submissions {
    std::vector<std::string> jobs;
};

struct send_start {
    worker_incarnation where;
    std::string address;
    task_id task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
    time_ms deadline_at_worker_ms = 0;
    /** Monotonic time of the host that sends the start, after which it doesn't. */
    time_ms send_until_ms = 0;
};

struct send_stop {
    worker_incarnation where;
    std::string address;
    task_id task;
    std::uint32_t run = 0;
};

/** Renews a worker's lease and requests its lists of active and ended runs. */
struct send_poll {
    worker_incarnation where;
    std::string address;
    /** New end of the lease on the worker's clock; 0 leaves the lease unchanged. */
    time_ms lease_ends_at_worker_ms = 0;
    /** Ended runs up to this sequence number are stored, so the worker may drop them. */
    std::uint64_t stored_sequence = 0;
    /** Time that the worker may wait for a run to end before it answers. */
    time_ms wait_ms = 0;
};

struct answer_cancel {
    std::uint64_t request = 0;
    bool known = false;
};

/** Sent when a worker reports that a newer leader exists. */
struct leadership_lost {};

/** Decision for the log: event name and key=value fields. */
struct decision {
    std::string name;
    std::string fields;
};

using effect = std::variant<store_records, delete_submissions, send_start, send_stop, send_poll,
                            answer_cancel, leadership_lost, decision>;
using effects = std::vector<effect>;

} // namespace fulmarworks::scheduler
