#include "stall_evidence.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

constexpr int complete_percent = 100;
/** Unchanged progress below 100 percent for this long is a stall, regardless of the estimate. */
constexpr time_ms stall_limit_ms = 3000;
/**
 * Limit at 100 percent while the run times of the class are unknown. A run that is stopped as
 * stalled never finishes, so a short limit would stop every long task again on each worker.
 */
constexpr time_ms unknown_overrun_limit_ms = 30000;

} // namespace

progress_verdict judge_progress(const progress_observation& o) {
    if (o.unchanged_for_ms < stall_limit_ms) {
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
