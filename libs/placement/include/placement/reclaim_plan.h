#pragma once

#include "placement/cluster.h"

#include <string>
#include <vector>

namespace fulmarworks {

/**
 * One unit of a guarantee and the accelerators that the reclaim plan assigns to it: adjacent ones
 * on each of `hosts` hosts of a rack.
 */
struct guarantee_cell {
    std::string name;
    std::string guarantee;
    std::string client_account;
    std::string host_pool;
    int hosts = 1;
    int accelerators_per_host = 1;
    /** One block per host; empty while no suitable accelerators exist. */
    std::vector<block> blocks;
    /** Job for which the cell is being reclaimed; empty if there is none. */
    std::string claimed_by;
};

FULMARWORKS_JSON(guarantee_cell, name, guarantee, client_account, host_pool, hosts,
                 accelerators_per_host, blocks, claimed_by)

/** Returns the cells of the configured guarantees, without blocks. Thread safe. */
[[nodiscard]] std::vector<guarantee_cell> make_guarantee_cells(const configuration& c);

/**
 * Assigns disjoint blocks of accelerators to every cell. The blocks of a cell lie on schedulable
 * hosts of one rack and run no pinned task. Cells that are still feasible keep their blocks.
 * Returns the indexes of the cells whose blocks changed or that have none. Not thread safe.
 */
std::vector<std::size_t> update_reclaim_plan(cluster& c, std::vector<guarantee_cell>& cells);

/**
 * Claims a cell for a job, or clears the claim if `claimed_by` is empty. Precondition: the cell has
 * blocks or its claim is cleared.
 */
void set_claim(cluster& c, std::span<guarantee_cell> cells, guarantee_cell& cell,
               std::string claimed_by);

/** Returns whether every cell has feasible, disjoint blocks that run no pinned task. */
[[nodiscard]] bool is_reclaim_plan_feasible(const cluster& c,
                                            std::span<const guarantee_cell> cells);

} // namespace fulmarworks
