#include "crash_attribution.h"

#include <algorithm>

namespace fulmarworks::scheduler {

crash_attribution attribute_crash(std::span<const crashed_run> runs) {
    std::uint32_t most_start_crashes = 0;
    for (const auto& run : runs) {
        if (!run.proven) {
            most_start_crashes = std::max(most_start_crashes, run.losses.start_crashes);
        }
    }
    crash_attribution result;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        if (!runs[i].proven && runs[i].losses.start_crashes == most_start_crashes) {
            result.causes.push_back(i);
        }
    }
    result.conclusive =
        !result.causes.empty() && std::all_of(runs.begin(), runs.end(), [&](const auto& run) {
            return run.proven || run.job == runs[result.causes.front()].job;
        });
    return result;
}

} // namespace fulmarworks::scheduler
