#pragma once

#include "ledger/job.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarworks {

/** One kind of work in a deployment's mix. Times are drawn log-uniformly between the bounds. */
struct work_kind {
    std::string job_class;
    /** Share of the offered accelerator time. */
    double load_share = 0;
    time_ms min_run_ms = 0;
    time_ms max_run_ms = 0;
    /** Accelerators of a task and tasks of a job, one pair drawn evenly. */
    std::vector<std::pair<int, int>> shapes;
};

struct account_share {
    std::string account;
    double share = 0;
};

/** Arrivals of a deployment; docs/MEASUREMENTS.md describes them. */
struct workload_description {
    std::vector<work_kind> kinds;
    std::vector<account_share> accounts;
    /** Offered accelerator time over the capacity of the hosts that are on. */
    double load = 0.9;
    int accelerators = 336;
    time_ms duration_ms = 2 * milliseconds_per_hour;
    /** Share of jobs that arrive together with ten others. */
    double burst_share = 0.05;
    double cancelled_share = 0.02;
    /** Declared run times are off by up to this factor, either way. */
    double declared_error = 5;
    /** Account whose arrivals are multiplied, and by how much. */
    std::string flooding_account;
    int flood_factor = 1;
};

struct arriving_job {
    time_ms at = 0;
    job_request request;
    time_ms run_ms = 0;
    /** When the caller cancels it; 0 for never. */
    time_ms cancel_at = 0;
};

/** Returns the arrivals in order of time. The same seed gives the same arrivals. */
[[nodiscard]] std::vector<arriving_job> generate_workload(const workload_description& d,
                                                          std::uint32_t seed);

[[nodiscard]] workload_description vormpulp_workload();
[[nodiscard]] workload_description kopjeskraal_workload();

} // namespace fulmarworks
