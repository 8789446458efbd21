#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarworks {

/** Configuration document with one guarantee and job classes of each urgency. */
extern const char* const small_configuration;

/** Result of one seeded run. */
struct random_run_report {
    /** Violations that the history checker reported; empty if there were none. */
    std::vector<std::string> violations;
    int jobs = 0;
    int done = 0;
    /** Digest of the final state. */
    std::string digest;
};

/** A fault injected into a random run. */
enum class injected_fault {
    crash_instance,
    pause_instance,
    restart_worker,
    unreachable_worker,
    failing_worker,
    log_down,
    lost_append_answers,
    message_loss,
    trim_log,
    shut_down_instance,
};

/**
 * Runs three instances with random jobs, cancellations and the given faults, then clears all
 * faults, waits until all jobs have ended and checks the history. The same arguments reproduce the
 * same run.
 */
[[nodiscard]] random_run_report run_randomly(std::uint32_t seed,
                                             const std::vector<injected_fault>& faults);

/** Returns `count` faults drawn at random with replacement. */
[[nodiscard]] std::vector<injected_fault> choose_faults(std::uint32_t seed, int count);

} // namespace fulmarworks
