#pragma once

#include "ledger/state.h"

namespace fulmarworks {

/** Status of a job as returned to callers. */
struct job_status_report {
    std::string job;
    /** queued, running, stopping, unknown, done, failed or not_run. */
    std::string state;
    bool final_outcome = false;
    std::string reason;
    std::string message;
    int attempts = 0;
    std::uint64_t offset = 0;
    time_ms submitted_at = 0;
    time_ms placed_at = 0;
    time_ms started_at = 0;
    time_ms ended_at = 0;
    std::vector<std::string> hosts;
    std::string result_holder;
    std::string result_digest;
    std::uint64_t result_size = 0;
};

FULMARWORKS_JSON(job_status_report, job, state, final_outcome, reason, message, attempts, offset,
                 submitted_at, placed_at, started_at, ended_at, hosts, result_holder, result_digest,
                 result_size)

[[nodiscard]] job_status_report report_job(const ledger_state& s, const job& j);

/**
 * Returns the status of a job, the inputs to its scheduling, and each decision about it with its
 * reason and record offset.
 */
[[nodiscard]] json explain_job(const ledger_state& s, const job& j);

/** Returns a text that explains a refusal or failure and what the caller can do about it. */
[[nodiscard]] std::string remedy_of(job_reason reason);

} // namespace fulmarworks
