#pragma once

#include "ledger/job.h"
#include "placement/cluster.h"

#include <string>
#include <variant>
#include <vector>

/**
 * Records of the replicated log. A record names the state that it is based on, such as an attempt
 * or an epoch; `apply` drops it if that state has changed.
 */
namespace fulmarworks {

struct instance_joined {
    static constexpr std::string_view kind = "instance_joined";
    std::string name;
    std::uint64_t incarnation = 0;
    std::string api_address;
    std::string peer_address;
    std::string failure_domain;
};

/** Asks an instance that does not answer its peers to prove that it still follows the log. */
struct instance_suspected {
    static constexpr std::string_view kind = "instance_suspected";
    std::string name;
    std::uint64_t incarnation = 0;
};

/** Answers `instance_suspected`: the instance still follows the log. */
struct instance_alive {
    static constexpr std::string_view kind = "instance_alive";
    std::string name;
    std::uint64_t incarnation = 0;
};

/** Removes the writer itself on shutdown, or another instance after an unanswered suspicion. */
struct instance_left {
    static constexpr std::string_view kind = "instance_left";
    std::string name;
    std::uint64_t incarnation = 0;
    /** Offset of the unanswered suspicion; 0 if the instance itself shuts down. */
    std::uint64_t suspected_offset = 0;
};

struct config_published {
    static constexpr std::string_view kind = "config_published";
    std::string publish_id;
    std::uint64_t based_on = 0;
    std::string document;
};

struct job_submitted {
    static constexpr std::string_view kind = "job_submitted";
    job_request request;
};

struct cancel_requested {
    static constexpr std::string_view kind = "cancel_requested";
    std::string job;
};

/** Ends a queued job that waited longer than its class allows. */
struct job_expired {
    static constexpr std::string_view kind = "job_expired";
    std::string job;
    int attempt = 0;
};

struct job_placed {
    static constexpr std::string_view kind = "job_placed";
    std::string job;
    int attempt = 0;
    std::vector<block> blocks;
    std::string cell;
    std::string why;
};

struct preemption_target {
    std::string job;
    int attempt = 0;
    /** Whether the tasks may write a checkpoint before they stop. */
    bool checkpoint_first = true;
};

/** Stops jobs in favour of another job. If `cell` is set, claims that guarantee cell for it. */
struct jobs_preempted {
    static constexpr std::string_view kind = "jobs_preempted";
    std::vector<preemption_target> targets;
    std::string for_job;
    std::string cell;
};

/** Checkpoints and requeues jobs so that whole hosts become free. */
struct jobs_moved {
    static constexpr std::string_view kind = "jobs_moved";
    std::vector<preemption_target> targets;
};

/** Gang members whose workers have prepared them and wait for the start. */
struct members_ready {
    static constexpr std::string_view kind = "members_ready";
    std::string job;
    int attempt = 0;
    std::vector<int> members;
};

struct task_ended {
    static constexpr std::string_view kind = "task_ended";
    std::string job;
    int attempt = 0;
    int member = 0;
    std::uint64_t host_incarnation = 0;
    task_outcome outcome = task_outcome::done;
    time_ms started_at = 0;
    time_ms run_ms = 0;
    time_ms progress_ms = 0;
    std::string error;
    job_result result;
};

struct host_reported {
    static constexpr std::string_view kind = "host_reported";
    std::string host;
    host_status status = host_status::up;
    std::uint64_t incarnation = 0;
    std::uint64_t owner_epoch = 0;
};

struct host_power_requested {
    static constexpr std::string_view kind = "host_power_requested";
    std::string host;
    bool on = true;
    std::string why;
};

/** The worker that held a result was lost before the caller fetched the result. */
struct result_lost {
    static constexpr std::string_view kind = "result_lost";
    std::string job;
    int attempt = 0;
};

/** Advances `ledger_state::now` while something waits for a point in time. */
struct time_noted {
    static constexpr std::string_view kind = "time_noted";
    int unused = 0;
};

using record_body = std::variant<instance_joined, instance_suspected, instance_alive, instance_left,
                                 config_published, job_submitted, cancel_requested, job_expired,
                                 job_placed, jobs_preempted, jobs_moved, members_ready, task_ended,
                                 host_reported, host_power_requested, result_lost, time_noted>;

FULMARWORKS_JSON(instance_joined, name, incarnation, api_address, peer_address, failure_domain)
FULMARWORKS_JSON(instance_suspected, name, incarnation)
FULMARWORKS_JSON(instance_alive, name, incarnation)
FULMARWORKS_JSON(instance_left, name, incarnation, suspected_offset)
FULMARWORKS_JSON(config_published, publish_id, based_on, document)
FULMARWORKS_JSON(job_submitted, request)
FULMARWORKS_JSON(cancel_requested, job)
FULMARWORKS_JSON(job_expired, job, attempt)
FULMARWORKS_JSON(job_placed, job, attempt, blocks, cell, why)
FULMARWORKS_JSON(preemption_target, job, attempt, checkpoint_first)
FULMARWORKS_JSON(jobs_preempted, targets, for_job, cell)
FULMARWORKS_JSON(jobs_moved, targets)
FULMARWORKS_JSON(members_ready, job, attempt, members)
FULMARWORKS_JSON(task_ended, job, attempt, member, host_incarnation, outcome, started_at, run_ms,
                 progress_ms, error, result)
FULMARWORKS_JSON(host_reported, host, status, incarnation, owner_epoch)
FULMARWORKS_JSON(host_power_requested, host, on, why)
FULMARWORKS_JSON(result_lost, job, attempt)
FULMARWORKS_JSON(time_noted, unused)

/** Identity of a record, by which `apply` detects repeated appends. */
struct record_header {
    std::string writer;
    std::uint64_t incarnation = 0;
    std::string lane;
    std::uint64_t sequence = 0;
    /** Wall-clock time of the writer. */
    time_ms written_at = 0;
};

struct record {
    record_header header;
    record_body body;
};

/** Returns the record as it is appended to the log. Thread safe. */
[[nodiscard]] std::string encode_record(const record& r);

/** Decodes a record. Unknown kinds and invalid fields are errors. Never throws. Thread safe. */
[[nodiscard]] result<record> decode_record(std::string_view text);

} // namespace fulmarworks
