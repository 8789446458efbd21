#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarworks::soak {

struct soak_options {
    std::uint64_t seed = 1;
    int entry_hosts = 4;
    int workers = 12;
    /** Interval between submissions. */
    time_ms job_interval_ms = 120;
    /** Whether faults are injected. */
    bool faults = true;
    /** Whether the fixed series of `schedule_series` is injected instead of random faults. */
    bool series = false;
    /** Share of a core to which each host is held; 0 leaves the hosts unlimited. */
    double cpu_share = 0;
    /** Number of the first hosts that have `large_cpu_share` instead. */
    int large_hosts = 0;
    double large_cpu_share = 0.5;
    /** Whether some tasks crash their workers, and capacities shrink and grow. */
    bool worker_crashes = false;
    /** Program of the entry hosts; empty runs this build's, for comparisons with earlier ones. */
    std::string binary;
    /** Directory for the logs; empty deletes them after the run. */
    std::string keep_logs_in;
};

struct soak_report {
    /** One line per violation. */
    std::vector<std::string> violations;
    /** The injected faults, one line each, in the order of scheduling. */
    std::vector<std::string> faults;
    std::string summary;
    /** What is known of each job with violations: its runs, and the hosts' log lines about it. */
    std::vector<std::string> evidence;
};

/**
 * Runs the soak for one seed: real entry hosts as processes, stand-ins for the platform, and
 * callers, under a random series of overlapping faults. Afterwards it clears all faults and checks
 * that all accepted jobs end. Throws std::runtime_error if it can't set up the system.
 */
[[nodiscard]] soak_report run_seed(const soak_options& options);

} // namespace fulmarworks::soak
