#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarworks {

/** Document of a small configuration with one guarantee and all kinds of job classes. */
extern const char* const small_configuration;

/** Outcome of one seeded run. */
struct random_run_report {
    std::vector<std::string> broken;
    int jobs = 0;
    int done = 0;
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
 * Runs three instances under random jobs, cancellations and the given faults, then heals
 * everything, lets it settle and checks the history. The same arguments give the same run.
 */
[[nodiscard]] random_run_report run_randomly(std::uint32_t seed,
                                             const std::vector<injected_fault>& faults);

/** Returns a random choice of faults. */
[[nodiscard]] std::vector<injected_fault> choose_faults(std::uint32_t seed, int count);

} // namespace fulmarworks
