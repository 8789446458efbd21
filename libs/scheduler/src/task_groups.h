#pragma once

#include "scheduler/coordinator.h"

namespace fulmarworks::scheduler {

/** How useful it is to start something now; lower values go first. */
enum class urgency {
    guaranteed, // urgent work within its account's guarantee
    in_time,    // can still meet its objective
    late,       // can still be of some use
    overdue,    // runs only because it was accepted
};

/** Tasks of one step that can be placed now: a whole gang, or the idle tasks of a step. */
struct task_group {
    job* owner = nullptr;
    occurrence* parent = nullptr;
    std::uint32_t step = 0;
    std::vector<std::uint32_t> tasks;
    urgency urgency_class = urgency::in_time;
    /** Monotonic time by which the job should be complete. */
    time_ms objective_at_ms = 0;
    /** Monotonic time since which the step could have been running. */
    time_ms ready_at_ms = 0;

    [[nodiscard]] const step_spec& spec() const { return owner->spec.steps[step]; }
};

/**
 * Returns all units that can be placed, most important first: by priority, urgency, then objective.
 *
 * Load it answers: bursts of urgent jobs on top of long ones. Work that can no longer meet its
 * objective gives way to work of the same priority that can, so a backlog doesn't make all late.
 */
[[nodiscard]] std::vector<task_group> collect_task_groups(coordinator_state& state, time_ms now_ms);

} // namespace fulmarworks::scheduler
