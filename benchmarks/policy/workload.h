#pragma once

#include "ledger/job.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarworks {

/** Jobs of one class in a deployment's workload. Run times are log-uniform between the bounds. */
struct job_kind {
    std::string job_class;
    /** Share of the workload's accelerator time. */
    double load_share = 0;
    time_ms min_run_ms = 0;
    time_ms max_run_ms = 0;
    /** Pairs of accelerators per task and tasks per job, drawn with equal probability. */
    std::vector<std::pair<int, int>> shapes;
};

struct account_share {
    std::string account;
    double share = 0;
};

/** Parameters of the job arrivals of a deployment; described in docs/MEASUREMENTS.md. */
struct workload_description {
    std::vector<job_kind> kinds;
    std::vector<account_share> accounts;
    /** Requested accelerator time divided by the capacity of the hosts that are on. */
    double load = 0.9;
    int accelerators = 336;
    time_ms duration_ms = 2 * milliseconds_per_hour;
    /** Share of arrivals that are bursts of ten jobs. */
    double burst_share = 0.05;
    double cancelled_share = 0.02;
    /** Declared run times deviate from the actual ones by up to this factor in either direction. */
    double declared_error = 5;
    /** Account whose arrivals are multiplied by `flood_factor`; empty for none. */
    std::string flooding_account;
    int flood_factor = 1;
};

struct job_arrival {
    time_ms at = 0;
    job_request request;
    time_ms run_ms = 0;
    /** Time at which the caller cancels the job; 0 for never. */
    time_ms cancel_at = 0;
};

/** Returns the arrivals sorted by time. The same seed gives the same arrivals. */
[[nodiscard]] std::vector<job_arrival> generate_workload(const workload_description& d,
                                                         std::uint32_t seed);

[[nodiscard]] workload_description vormpulp_workload();
[[nodiscard]] workload_description kopjeskraal_workload();

} // namespace fulmarworks
