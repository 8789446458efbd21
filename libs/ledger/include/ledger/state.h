#pragma once

#include "ledger/job.h"
#include "ledger/record.h"
#include "model/configuration_document.h"
#include "placement/reclaim_plan.h"

#include <map>
#include <set>
#include <string>

namespace fulmarworks {

/** Retention of finished jobs, during which callers can still query the outcome. */
inline constexpr time_ms finished_retention_ms = 24 * milliseconds_per_hour;

/**
 * Older requests are refused: their job may have been removed after its retention, and a retry
 * would run it a second time.
 */
inline constexpr time_ms max_request_age_ms = 12 * milliseconds_per_hour;

inline constexpr std::size_t max_history_entries = 12;
inline constexpr std::size_t max_publish_outcomes = 256;

struct instance_info {
    std::uint64_t incarnation = 0;
    std::string api_address;
    std::string peer_address;
    std::string failure_domain;
    /** Offset of the unanswered suspicion; 0 if there is none. */
    std::uint64_t suspected_offset = 0;
};

/** Last record of one lane of a writer. */
struct writer_state {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    time_ms last_written_at = 0;
};

struct rack_owner {
    std::string instance;
    std::uint64_t epoch = 0;
};

/** Incarnation, power request and failures of one host; `cluster` holds its allocations. */
struct host_record {
    std::uint64_t incarnation = 0;
    bool wanted_on = true;
    /** Distinct jobs that failed on the host since its last success or quarantine. */
    std::vector<std::string> failed_jobs;
    int quarantine_level = 0;
    time_ms quarantined_until = 0;
    /** Jobs that were lost with the host while it is not known whether it crashed. */
    std::vector<std::string> unresolved_jobs;
    /** Set by a quarantine. Afterwards the host takes one task at a time until one succeeds. */
    bool on_probation = false;
};

/** Moving average of the run time of an account's jobs of one class. */
struct run_time_estimate {
    int samples = 0;
    double mean_ms = 0;
};

struct retry_budget {
    double tokens = 0;
    time_ms updated_at = 0;
};

struct publish_outcome {
    std::string publish_id;
    bool accepted = false;
    std::uint64_t version = 0;
    std::vector<configuration_fault> faults;
};

FULMARWORKS_JSON(instance_info, incarnation, api_address, peer_address, failure_domain,
                 suspected_offset)
FULMARWORKS_JSON(writer_state, incarnation, sequence, last_written_at)
FULMARWORKS_JSON(rack_owner, instance, epoch)
FULMARWORKS_JSON(host_record, incarnation, wanted_on, failed_jobs, quarantine_level,
                 quarantined_until, unresolved_jobs, on_probation)
FULMARWORKS_JSON(run_time_estimate, samples, mean_ms)
FULMARWORKS_JSON(retry_budget, tokens, updated_at)
FULMARWORKS_JSON(publish_outcome, publish_id, accepted, version, faults)

/**
 * Position of a job in its account's queue. Urgent jobs are ordered by deadline, all others by
 * submission.
 */
struct queue_entry {
    urgency priority = urgency::standard;
    time_ms deadline_at = 0;
    std::uint64_t submit_offset = 0;
    std::string job;

    auto operator<=>(const queue_entry&) const = default;
};

struct account_usage {
    int accelerators = 0;
    int urgent_accelerators = 0;
    int tasks = 0;
};

/**
 * State that results from applying the log. Instances that have applied the same records hold equal
 * states. Snapshots don't contain the members under "Derived"; `decode_snapshot` rebuilds them.
 */
struct ledger_state {
    std::uint64_t next_offset = 0;
    /** Latest `written_at` of all applied records. */
    time_ms now = 0;
    std::uint64_t config_version = 0;
    configuration config;
    std::map<std::string, instance_info> instances;
    std::map<std::string, writer_state> writers;
    /** Outcomes of the latest publishes, oldest first. */
    std::vector<publish_outcome> publishes;
    std::map<std::string, job> jobs;
    std::vector<guarantee_cell> cells;
    std::vector<rack_owner> rack_owners;
    std::vector<host_record> host_records;
    std::map<std::string, run_time_estimate> estimates;
    std::map<std::string, retry_budget> retry_budgets;
    /** Dropped records, refusals, retries and preemptions by reason. */
    std::map<std::string, std::uint64_t> counters;
    cluster hosts;

    // Derived.
    std::map<std::string, std::set<queue_entry>> queues;
    std::map<std::string, int> queued_by_class;
    std::map<std::string, account_usage> usage;
    /** Accelerators held by urgent jobs. */
    int urgent_accelerators = 0;
    std::set<std::pair<time_ms, std::string>> finished;
    std::vector<std::set<std::string>> jobs_by_host;
    std::set<std::pair<time_ms, host_index>> quarantined;
};

/** Returns the job, or nullptr if it is unknown. The pointer is valid until the next `apply`. */
[[nodiscard]] const job* find_job(const ledger_state& s, std::string_view id);

/** Returns the outcome of a publish, or nullptr if it is not among the latest publishes. */
[[nodiscard]] const publish_outcome* find_publish(const ledger_state& s, std::string_view id);

/** Returns the class of a job, or nullptr if it is no longer configured. */
[[nodiscard]] const job_class* class_of(const ledger_state& s, const job& j);

/** Returns the expected remaining run time of a job, without the progress that is saved. */
[[nodiscard]] time_ms expected_run_ms(const ledger_state& s, const job& j);

/**
 * Returns the estimated run time of an account's jobs of a class, or `declared_ms` if there are too
 * few samples.
 */
[[nodiscard]] time_ms expected_run_ms(const ledger_state& s, std::string_view account,
                                      std::string_view job_class, time_ms declared_ms);

/** Returns the key of an account and class in `estimates`, `retry_budgets` and the indexes. */
[[nodiscard]] std::string account_class_key(std::string_view account, std::string_view job_class);

} // namespace fulmarworks
