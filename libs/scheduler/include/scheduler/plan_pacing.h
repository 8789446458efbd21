#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace fulmarworks::scheduler {

/** Which waiting jobs a plan considers. */
enum class plan_scope { none, urgent, all };

/**
 * When the next plans are due.
 *
 * Handles a backlog of thousands of jobs: each plan then takes milliseconds, and most events may
 * allow a task to be placed. Plans of all jobs are spaced by a multiple of what the last one cost,
 * counted in task groups. Urgent jobs are planned alone in between, so that they don't wait for the
 * rest of the backlog.
 */
struct plan_pacing {
    /** Monotonic times before which no plan of that scope begins. */
    time_ms all_due_ms = 0;
    time_ms urgent_due_ms = 0;
    /** Whether something has changed since the last plan of all jobs. */
    bool all_needed = false;
    /** Task groups considered by all plans so far. */
    std::uint64_t groups_considered = 0;
};

/**
 * Returns the plan that is due. `changed` tells whether something has changed since the last plan
 * of any scope, and `urgent_waiting` whether an urgent job waits. Thread safe.
 */
[[nodiscard]] plan_scope due_plan(const plan_pacing& pacing, bool changed, bool urgent_waiting,
                                  time_ms now_ms);

/** Records that a plan considered `groups` task groups. */
void note_plan(plan_pacing& pacing, plan_scope scope, std::size_t groups, time_ms now_ms);

} // namespace fulmarworks::scheduler
