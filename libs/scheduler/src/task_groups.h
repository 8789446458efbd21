#pragma once

#include "scheduler/coordinator.h"

namespace fulmarworks::scheduler {

/** How useful it is to start a group now; lower values are planned first. */
enum class urgency {
    guaranteed, // urgent work within the guarantee of its account
    in_time,    // can still meet its objective
    late,       // past its objective, but still useful
    overdue,    // no longer useful; runs only because it was accepted
};

/** Tasks of one step that can be placed now: a whole gang, or the step's idle tasks. */
struct task_group {
    job* owner = nullptr;
    occurrence* parent = nullptr;
    std::uint32_t step = 0;
    std::vector<std::uint32_t> tasks;
    urgency urgency_class = urgency::in_time;
    /** Monotonic time by which the job should complete. */
    time_ms objective_at_ms = 0;
    /** Monotonic time at which the step became ready. */
    time_ms ready_at_ms = 0;

    [[nodiscard]] const step_spec& spec() const { return owner->spec.steps[step]; }
};

/**
 * Returns the groups of the scope that can be placed, ordered by priority, urgency and objective.
 *
 * Handles bursts of urgent jobs on top of long ones. Work that can no longer meet its objective
 * comes after work of the same priority that can, so that a backlog does not make all jobs late.
 */
[[nodiscard]] std::vector<task_group> collect_task_groups(coordinator_state& state,
                                                          plan_scope scope, time_ms now_ms);

} // namespace fulmarworks::scheduler
