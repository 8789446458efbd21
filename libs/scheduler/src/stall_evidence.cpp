#include "stall_evidence.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

constexpr int complete_percent = 100;
/** Unchanged progress for less than this is no stall. */
constexpr time_ms stall_limit_ms = 3000;
/** Unchanged progress below 100 percent for this many times the time of a percent is a stall. */
constexpr time_ms percents_before_stall = 2;
/** Limits the doubling, to three hours. */
constexpr std::uint32_t max_doublings = 12;
/**
 * Limit at 100 percent while the run times of the class are unknown. A run that is stopped as
 * stalled never finishes, so a short limit would stop every long task again on each worker.
 */
constexpr time_ms unknown_overrun_limit_ms = 30000;

/** Returns for how long the progress may stand. */
time_ms limit_of(const progress_observation& o) {
    if (o.percent >= complete_percent) {
        return stall_limit_ms;
    }
    return std::max(stall_limit_ms, percents_before_stall * o.percent_ms)
           << std::min(o.earlier_starts, max_doublings);
}

} // namespace

progress_verdict judge_progress(const progress_observation& o) {
    if (o.unchanged_for_ms < limit_of(o)) {
        return progress_verdict::advancing;
    }
    if (o.percent < complete_percent || o.worker_has_stalled_run) {
        return progress_verdict::stalled;
    }
    const time_ms limit = o.usual_overrun_ms > 0 ? std::max(o.usual_overrun_ms, stall_limit_ms)
                                                 : unknown_overrun_limit_ms;
    return o.unchanged_for_ms < limit ? progress_verdict::may_be_long : progress_verdict::stalled;
}

} // namespace fulmarworks::scheduler
