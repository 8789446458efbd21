#pragma once

#include "scheduler/coordinator.h"

namespace fulmarworks::scheduler {

/** Tasks to place and runs to stop, decided together. */
struct plan {
    struct assignment {
        task_id task;
        worker_incarnation where;
    };
    /** Contains all tasks of a gang or none. */
    std::vector<assignment> placements;
    /** A run to stop and the job that needs its capacity. */
    struct preempted_task {
        task_id victim;
        std::string preempting_job;
    };
    std::vector<preempted_task> preemptions;
    /** Task groups that were considered. */
    std::size_t groups = 0;
};

/**
 * Decides which tasks to start and which runs to stop. Updates ready times and reservations.
 * A plan of urgent jobs decides for them as one of all jobs would. Bookings in the capacity index
 * are only proposals, recomputed for the next plan. Precondition: `refresh_capacities` was called.
 */
[[nodiscard]] plan make_plan(coordinator_state& state, plan_scope scope, time_ms now_ms);

} // namespace fulmarworks::scheduler
