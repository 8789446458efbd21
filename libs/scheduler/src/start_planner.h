#pragma once

#include "scheduler/coordinator.h"

namespace fulmarworks::scheduler {

/** Tasks to place and runs to stop, decided at one moment. */
struct plan {
    struct assignment {
        task_id task;
        worker_incarnation where;
    };
    /** All tasks of one gang are in here, or none. */
    std::vector<assignment> placements;
    /** Runs that give way, each with the job that needs its room. */
    struct preempted_task {
        task_id victim;
        std::string preempting_job;
    };
    std::vector<preempted_task> preemptions;
};

/**
 * Decides what to start and what to stop. Changes readiness times and reservations; what it books
 * in the rooms is a proposal, and is measured again for the next plan. Precondition: the rooms are
 * refreshed.
 */
[[nodiscard]] plan make_plan(coordinator_state& state, time_ms now_ms);

} // namespace fulmarworks::scheduler
