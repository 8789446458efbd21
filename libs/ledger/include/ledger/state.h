#pragma once

#include "ledger/job.h"
#include "ledger/record.h"
#include "model/configuration_document.h"
#include "placement/reclaim_plan.h"

#include <map>
#include <set>
#include <string>

namespace fulmarworks {

/** Finished jobs are kept this long, so that late callers find their outcome. */
inline constexpr time_ms finished_retention_ms = 24 * milliseconds_per_hour;

/** A request issued longer ago than this could meet a forgotten outcome, and is refused. */
inline constexpr time_ms max_request_age_ms = 12 * milliseconds_per_hour;

inline constexpr std::size_t max_history_entries = 12;
inline constexpr std::size_t max_publish_outcomes = 256;

struct instance_info {
    std::uint64_t incarnation = 0;
    std::string api_address;
    std::string peer_address;
    std::string failure_domain;
    /** Offset of an unanswered suspicion; 0 where there is none. */
    std::uint64_t suspected_offset = 0;
};

struct writer_state {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    time_ms last_written_at = 0;
};

struct rack_owner {
    std::string instance;
    std::uint64_t epoch = 0;
};

/** Evidence about one host, beside its occupancy in the cluster. */
struct host_record {
    std::uint64_t incarnation = 0;
    bool wanted_on = true;
    /** Different jobs that failed in a row. */
    std::vector<std::string> failed_jobs;
    int quarantine_level = 0;
    time_ms quarantined_until = 0;
    /** Out of quarantine, but limited to one task until one succeeds. */
    bool on_probation = false;
};

/** Learned run time of an account's jobs of one class. */
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
                 quarantined_until, on_probation)
FULMARWORKS_JSON(run_time_estimate, samples, mean_ms)
FULMARWORKS_JSON(retry_budget, tokens, updated_at)
FULMARWORKS_JSON(publish_outcome, publish_id, accepted, version, faults)

/** Place of a job in its account's queue: urgent by deadline, others by arrival. */
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
 * Everything that the log decides. Two instances that have folded the same records hold equal
 * states. Members under "derived" follow from the others and are rebuilt from a snapshot.
 */
struct ledger_state {
    std::uint64_t next_offset = 0;
    /** Latest time written in any record. */
    time_ms now = 0;
    std::uint64_t config_version = 0;
    configuration config;
    std::map<std::string, instance_info> instances;
    std::map<std::string, writer_state> writers;
    /** Latest publishes, oldest first. */
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
    /** Accelerators that urgent work holds. */
    int urgent_accelerators = 0;
    std::set<std::pair<time_ms, std::string>> finished;
    std::vector<std::set<std::string>> jobs_by_host;
    std::set<std::pair<time_ms, host_index>> quarantined;
};

/** Returns the job, or nullptr. The pointer holds until the next `apply`. */
[[nodiscard]] const job* find_job(const ledger_state& s, std::string_view id);

/** Returns the outcome of a publish, or nullptr where it was never folded or is forgotten. */
[[nodiscard]] const publish_outcome* find_publish(const ledger_state& s, std::string_view id);

/** Returns the class of a job, or nullptr where the configuration no longer has it. */
[[nodiscard]] const job_class* class_of(const ledger_state& s, const job& j);

/** Returns the expected run time of what is left of a job, learned where there is evidence. */
[[nodiscard]] time_ms expected_run_ms(const ledger_state& s, const job& j);

/** Returns the learned run time of an account's class, or `declared_ms` without evidence. */
[[nodiscard]] time_ms expected_run_ms(const ledger_state& s, std::string_view account,
                                      std::string_view job_class, time_ms declared_ms);

/** Returns the index key of an account and class. */
[[nodiscard]] std::string account_class_key(std::string_view account, std::string_view job_class);

} // namespace fulmarworks
