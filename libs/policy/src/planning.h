#pragma once

#include "policy/planner.h"

#include <set>
#include <tuple>

namespace fulmarworks {

/** Shape that did not fit earlier in a step, when there was more room. */
using failed_shape = std::tuple<int, int, int, int, bool>;

/** What the parts of one planning step share. */
struct planning {
    ledger_state& state;
    planner_state& memory;
    time_ms now = 0;
    const planner_options& options;
    std::vector<record_body> records;
    std::set<failed_shape> failed;
    /** Guarantee cells used or claimed in this step. */
    std::set<std::string> taken_cells;
    /** Jobs whose stop this step asks for. */
    std::set<std::string> stopped_jobs;
    std::size_t placements = 0;
    /** Accelerators of jobs that found no place. */
    int waiting_accelerators = 0;
    /** Unplanned accelerators to be left free for urgent work. */
    int headroom = 0;
};

/** Returns whether the configuration weighs fragmentation more than completion time. */
[[nodiscard]] inline bool weighs_fragmentation(const planning& p) {
    const scheduling_policy& weights = p.state.config.policy;
    return weights.fragmentation_weight > weights.completion_weight;
}

[[nodiscard]] inline bool is_stoppable(const job_class& c) {
    return c.preempt != preemption::none;
}

[[nodiscard]] inline int total_accelerators(const job_request& r) {
    return r.shape.accelerators * r.tasks;
}

/** Returns the accelerators of all configured hosts. */
[[nodiscard]] inline int total_accelerators_of(const configuration& c) {
    int total = 0;
    for (const auto& p : c.host_pools) {
        for (const auto& r : p.racks) {
            total += r.hosts * p.host_capacity.accelerators;
        }
    }
    return total;
}

/** Returns the expected run time that planning uses. */
[[nodiscard]] inline time_ms planned_run_ms(const planning& p, const job& j) {
    return p.options.learned_run_times ? expected_run_ms(p.state, j) : j.request.declared_ms;
}

} // namespace fulmarworks
