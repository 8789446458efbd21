#pragma once

#include <string>
#include <vector>

namespace fulmarworks::soak {

class invariant_checker;

/**
 * Returns what is known of the jobs with violations, by time: their runs as the workers saw them,
 * the lines of the hosts' log files that name the job, and all losses of workers. Every line begins
 * with `ts=`.
 */
[[nodiscard]] std::vector<std::string> collect_evidence(const invariant_checker& checker,
                                                        const std::vector<std::string>& log_files);

} // namespace fulmarworks::soak
