#pragma once

#include "base/time.h"

#include <cstdint>

namespace fulmarworks::scheduler {

/** Whether a run makes progress, as far as its worker's reports tell. */
enum class progress_verdict {
    advancing,
    may_be_long, // past its usual run time, which is no evidence of a stall
    stalled,
};

/** What is known about the progress of a run. */
struct progress_observation {
    /** Latest reported progress. */
    int percent = 0;
    /** Time since the progress last changed. */
    time_ms unchanged_for_ms = 0;
    /** Whether another run on the worker is stalled below 100 percent. */
    bool worker_has_stalled_run = false;
    /** Time at 100 percent that the run's class justifies; 0 if it is not known. */
    time_ms usual_overrun_ms = 0;
    /** Expected time from one percent to the next; 0 if it is not known. */
    time_ms percent_ms = 0;
    /** Number of earlier starts of a task that has stalled or failed before. */
    std::uint32_t earlier_starts = 0;
};

/**
 * Judges whether a run is stalled.
 *
 * Handles long-tailed run times: progress reaches 100 percent at the usual run time and stays there
 * until the task ends, so only progress below 100 percent that does not change is evidence by
 * itself, and only if it stands for longer than a whole percent takes. A task that was stopped
 * before gets twice the time at each start, as it may take longer than expected. Workers that stall
 * do so with all their runs at once. Thread safe.
 */
[[nodiscard]] progress_verdict judge_progress(const progress_observation& o);

} // namespace fulmarworks::scheduler
