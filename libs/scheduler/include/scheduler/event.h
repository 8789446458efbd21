#pragma once

#include "scheduler/queue_policies.h"
#include "scheduler/worker.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace fulmarworks::scheduler {

/** Accelerators guaranteed to each client account for its urgent jobs. */
using guarantees = std::map<std::string, std::int64_t>;

struct job_submitted {
    job_spec spec;
};

/** A worker's registry entry appeared or was written again. */
struct worker_reported {
    worker_report report;
    /** Monotonic time after which the entry was written; 0 if unknown. */
    time_ms written_after_ms = 0;
};

/** A worker has no readable registry entry any more. */
struct worker_unlisted {
    std::string id;
    /** Whether the deletion of the entry was read; otherwise it is missing or can't be decoded. */
    bool deleted = false;
};

using registry_change = std::variant<worker_reported, worker_unlisted>;

/** What one read of the worker registry brought. */
struct workers_reported {
    /** In the order in which the registry was changed. */
    std::vector<registry_change> changes;
    /** Whether `changes` has every entry of the registry, so that other workers have none. */
    bool complete = false;
    /** Monotonic time up to which all changes of the registry were read. */
    time_ms confirmed_at_ms = 0;
};

struct guarantees_changed {
    guarantees account_guarantees;
};

/** A version of the configuration is known; older ones than the last are ignored. */
struct queues_changed {
    queue_policies queues;
};

/** The operator wants nothing new to start in these failure domains. */
struct evacuations_changed {
    std::set<std::string> failure_domains;
};

struct poll_answered {
    std::string worker;
    time_ms sent_at_ms = 0;
    worker_status status;
};

enum class order_failure {
    no_answer,         // the order may still be executed
    fenced,            // a newer leader exists
    superseded,        // the worker knows a later run or has ended this one
    expired,           // the start arrived after its deadline
    no_capacity,       // the worker has too little free capacity
    other_incarnation, // a different incarnation of the worker answered
    rejected,          // refused without effect
    not_sent,          // given up before it was sent, as its time was over
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
    /** `send_start::send_until_ms` of the order, which tells repeated orders apart. */
    time_ms send_until_ms = 0;
};

struct stop_answered {
    std::string worker;
    task_id task;
    std::uint32_t run = 0;
    bool accepted = false;
    order_failure failure = order_failure::no_answer;
};

/** Confirms the oldest batch of records that was not confirmed yet. */
struct records_stored {};

/** The submissions of these jobs are permanently deleted. */
struct submissions_deleted {
    std::vector<std::string> jobs;
};

struct cancel_requested {
    std::string job;
    /** Identifier of the request, copied into the answer. */
    std::uint64_t request = 0;
};

struct tick {};

using event =
    std::variant<job_submitted, workers_reported, guarantees_changed, queues_changed,
                 evacuations_changed, poll_answered, poll_failed, start_answered, stop_answered,
                 records_stored, submissions_deleted, cancel_requested, tick>;

} // namespace fulmarworks::scheduler
