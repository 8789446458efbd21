#pragma once

#include "placement/cluster.h"

#include <optional>
#include <span>
#include <vector>

namespace fulmarworks {

/** What a job needs and where it may go. */
struct placement_request {
    task_shape shape;
    /** Members of the gang; 1 for a single task. */
    int tasks = 1;
    bool pinned = true;
    accelerator_scope where = accelerator_scope::unplanned;
    /** Hosts that must not be taken, in ascending order. */
    std::span<const host_index> avoid;
    /** Takes the first host that fits instead of the best one; a baseline for benchmarks. */
    bool first_fit = false;
    /**
     * Fills hosts that are in use in a fixed order rather than by shortest run, so that the last
     * ones of the order drain and whole hosts and racks come free.
     */
    bool consolidate = false;
};

/**
 * Returns a block for each task, or nothing. A gang that fits an empty rack goes into one rack; a
 * larger one takes the racks of one pool with most room. Single tasks go to the host with the
 * shortest run that fits, and among those to the rack with the fewest empty hosts, so that whole
 * hosts and racks stay free for gangs. Thread safe while the cluster isn't changed.
 */
[[nodiscard]] std::optional<std::vector<block>> find_placement(const cluster& c,
                                                               const placement_request& request);

/**
 * Returns a block for each task within the given blocks of a guarantee, or nothing. The blocks
 * must be free of work; a claim does not matter.
 */
[[nodiscard]] std::optional<std::vector<block>> find_placement_in_cell(const cluster& c,
                                                                       std::span<const block> cell,
                                                                       const task_shape& shape,
                                                                       int tasks);

/** Returns whether some pool could hold the job with all of its hosts on and empty. */
[[nodiscard]] bool fits_when_empty(const cluster& c, const task_shape& shape, int tasks);

} // namespace fulmarworks
