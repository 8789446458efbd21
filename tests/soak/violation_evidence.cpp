#include "violation_evidence.h"

#include "invariant_checker.h"

#include <algorithm>
#include <fstream>

namespace fulmarworks::soak {

std::vector<std::string> collect_evidence(const invariant_checker& checker,
                                          const std::vector<std::string>& log_files) {
    const auto& jobs = checker.violating_jobs();
    std::vector<std::string> lines;
    for (const auto& job : jobs) {
        const auto runs = checker.run_history(job);
        lines.insert(lines.end(), runs.begin(), runs.end());
    }
    const auto concerns_job = [&](const std::string& line) {
        return line.find("event=worker_runs_lost") != std::string::npos ||
               std::any_of(jobs.begin(), jobs.end(), [&](const std::string& job) {
                   return line.find(job) != std::string::npos;
               });
    };
    for (const auto& file : jobs.empty() ? std::vector<std::string>{} : log_files) {
        std::ifstream log(file);
        for (std::string line; std::getline(log, line);) {
            if (concerns_job(line)) {
                lines.push_back(line);
            }
        }
    }
    std::sort(lines.begin(), lines.end());
    return lines;
}

} // namespace fulmarworks::soak
