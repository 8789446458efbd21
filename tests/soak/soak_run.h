#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fulmarworks::soak {

struct soak_options {
    std::uint64_t seed = 1;
    int entry_hosts = 4;
    int workers = 12;
    /** Empty: logs are kept only while the run lasts. */
    std::string keep_logs_in;
};

struct soak_report {
    /** One line for each broken promise. */
    std::vector<std::string> broken;
    /** What was injected, in order. */
    std::vector<std::string> faults;
    std::string summary;
};

/**
 * Plays one seed: real entry hosts as processes, stand-ins for the platform, callers, and a random
 * series of overlapping faults; then everything is repaired and all accepted work has to end.
 */
[[nodiscard]] soak_report play_seed(const soak_options& options);

} // namespace fulmarworks::soak
