#pragma once

#include "placement/cluster.h"

#include <optional>
#include <span>
#include <vector>

namespace fulmarworks {

/** Resources that a job needs and limits on where it may be placed. */
struct placement_request {
    task_shape shape;
    /** Members of the gang; 1 for a single task. */
    int tasks = 1;
    /** Whether the tasks can't be stopped to reclaim a guarantee. */
    bool pinned = true;
    accelerator_scope scope = accelerator_scope::unplanned;
    /** Hosts that must not be used, in ascending order. */
    std::span<const host_index> excluded_hosts;
    /** Uses the first host that fits instead of the best one, as a baseline for benchmarks. */
    bool first_fit = false;
    /**
     * Fills hosts in use by ascending index instead of by shortest run. Hosts with a high index
     * then become empty over time, which frees whole hosts and racks.
     */
    bool consolidate = false;
};

/**
 * Returns a block for each task, or nothing if the job doesn't fit. A gang that would fit into one
 * empty rack is placed in one rack; a larger gang is spread over the racks of one pool, starting
 * with those that have the most free capacity. A single task is placed on the host with the
 * shortest run that fits and, among these, in the rack with the fewest empty hosts, so that whole
 * hosts and racks stay free for gangs. Thread safe while the cluster isn't changed.
 */
[[nodiscard]] std::optional<std::vector<block>> find_placement(const cluster& c,
                                                               const placement_request& request);

/**
 * Returns a block for each task within the blocks of a guarantee cell, or nothing if the job
 * doesn't fit. Uses only free accelerators of the cell, whether or not they are claimed.
 */
[[nodiscard]] std::optional<std::vector<block>> find_placement_in_cell(const cluster& c,
                                                                       std::span<const block> cell,
                                                                       const task_shape& shape,
                                                                       int tasks);

/** Returns whether the job would fit into some pool if all hosts were up and empty. */
[[nodiscard]] bool fits_when_empty(const cluster& c, const task_shape& shape, int tasks);

} // namespace fulmarworks
