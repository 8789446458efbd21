#pragma once

#include "scheduler/worker.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fulmarworks::scheduler {

/** Accelerators that each client account owns for its urgent jobs. */
using guarantees = std::map<std::string, std::int64_t>;

struct job_submitted {
    job_spec spec;
};

/** A worker's entry appeared or changed. */
struct worker_reported {
    worker_report report;
};

/** A worker's entry was removed or can't be read. */
struct worker_unlisted {
    std::string id;
};

struct guarantees_changed {
    guarantees account_guarantees;
};

struct poll_answered {
    std::string worker;
    time_ms sent_at_ms = 0;
    worker_status status;
};

enum class order_failure {
    no_answer,         // may still be carried out
    fenced,            // a newer leader exists
    superseded,        // the worker knows a later or ended run
    expired,           // the start came after its deadline
    no_capacity,       // the worker has no room
    other_incarnation, // another incarnation answered
    rejected,          // refused, nothing was done
};

struct poll_failed {
    std::string worker;
    order_failure reason = order_failure::no_answer;
};

struct start_answered {
    std::string worker;
    task_id task;
    std::uint32_t run = 0;
    bool accepted = false;
    order_failure failure = order_failure::no_answer;
};

struct stop_answered {
    std::string worker;
    task_id task;
    std::uint32_t run = 0;
    bool accepted = false;
    order_failure failure = order_failure::no_answer;
};

/** The oldest batch of records that was not confirmed yet is stored. */
struct records_stored {};

/** The submissions of these jobs are deleted for good. */
struct submissions_deleted {
    std::vector<std::string> jobs;
};

struct cancel_requested {
    std::string job;
    /** Handed back with the answer. */
    std::uint64_t request = 0;
};

struct tick {};

using event = std::variant<job_submitted, worker_reported, worker_unlisted, guarantees_changed,
                           poll_answered, poll_failed, start_answered, stop_answered,
                           records_stored, submissions_deleted, cancel_requested, tick>;

} // namespace fulmarworks::scheduler
