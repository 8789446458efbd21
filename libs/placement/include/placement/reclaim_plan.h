#pragma once

#include "placement/cluster.h"

#include <string>
#include <vector>

namespace fulmarworks {

/** One promised block of a guarantee and the concrete accelerators that serve it. */
struct guarantee_cell {
    std::string name;
    std::string guarantee;
    std::string client_account;
    std::string host_pool;
    int hosts = 1;
    int accelerators_per_host = 1;
    /** One block a host; empty while no accelerators can serve it. */
    std::vector<block> blocks;
    /** Job for which the cell is being reclaimed, if any. */
    std::string claimed_by;
};

FULMARWORKS_JSON(guarantee_cell, name, guarantee, client_account, host_pool, hosts,
                 accelerators_per_host, blocks, claimed_by)

/** Returns the cells that the configuration promises, without blocks. Thread safe. */
[[nodiscard]] std::vector<guarantee_cell> make_guarantee_cells(const configuration& c);

/**
 * Gives every cell a disjoint block of accelerators on open hosts of one rack that holds no pinned
 * work. Cells that are still feasible keep their blocks. Returns the indexes of the cells whose
 * blocks changed or that have none. Not thread safe.
 */
std::vector<std::size_t> update_reclaim_plan(cluster& c, std::vector<guarantee_cell>& cells);

/** Sets or clears the claim of a cell for a job. Precondition: the cell has blocks or is cleared.
 */
void set_claim(cluster& c, std::span<guarantee_cell> cells, guarantee_cell& cell,
               std::string claimed_by);

/** Returns whether every cell has feasible, disjoint blocks without pinned work. */
[[nodiscard]] bool is_reclaim_plan_feasible(const cluster& c,
                                            std::span<const guarantee_cell> cells);

} // namespace fulmarworks
