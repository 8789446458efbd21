#pragma once

#include "policy/planner.h"

#include <set>
#include <tuple>

namespace fulmarworks {

/**
 * Accelerators, cores, memory, tasks and stoppability of a job that didn't fit earlier in a step.
 * Free capacity only shrinks within a step, so that an equal job doesn't fit either.
 */
using failed_shape = std::tuple<int, int, int, int, bool>;

/** Inputs, intermediate results and output of one planning step. */
struct planning_step {
    ledger_state& state;
    planner_state& planner;
    time_ms now = 0;
    const planner_options& options;
    std::vector<record_body> records;
    std::set<failed_shape> failed_shapes;
    /** Guarantee cells that this step uses or reclaims. */
    std::set<std::string> taken_cells;
    /** Jobs that this step stops. */
    std::set<std::string> stopped_jobs;
    std::size_t placements = 0;
    /** Accelerators of jobs that could neither be placed nor preempt others. */
    int unplaced_accelerators = 0;
    /** Unplanned accelerators to keep free for urgent jobs. */
    int headroom = 0;
};

/** Returns whether the configuration weighs fragmentation more than completion time. */
[[nodiscard]] inline bool prioritizes_low_fragmentation(const planning_step& p) {
    const scheduling_policy& weights = p.state.config.policy;
    return weights.fragmentation_weight > weights.completion_weight;
}

[[nodiscard]] inline bool is_stoppable(const job_class& c) {
    return c.preempt != preemption::none;
}

[[nodiscard]] inline int requested_accelerators(const job_request& r) {
    return r.shape.accelerators * r.tasks;
}

/** Returns the number of accelerators of all configured hosts. */
[[nodiscard]] inline int configured_accelerators(const configuration& c) {
    int total = 0;
    for (const auto& p : c.host_pools) {
        for (const auto& r : p.racks) {
            total += r.hosts * p.host_capacity.accelerators;
        }
    }
    return total;
}

/** Returns the run time that the planner expects: learned or as declared. */
[[nodiscard]] inline time_ms planned_run_ms(const planning_step& p, const job& j) {
    return p.options.learned_run_times ? expected_run_ms(p.state, j) : j.request.declared_ms;
}

} // namespace fulmarworks
