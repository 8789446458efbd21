#include "placement/reclaim_plan.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace fulmarworks {

namespace {

/**
 * Cost of stopping work on one accelerator. In comparison, splitting a longer run costs 1 for each
 * accelerator that remains of it.
 */
constexpr int cost_of_used_accelerator = 100;

/** Returns whether pinned tasks leave `planned` their share of the host's cores and memory. */
bool leaves_cores_and_memory(const host& h, accelerator_mask planned) {
    const int count = std::popcount(planned);
    const task_shape& total = h.capacity;
    return count == 0 ||
           (h.pinned_total.cores + total.cores * count / total.accelerators <= total.cores &&
            h.pinned_total.memory_gb + total.memory_gb * count / total.accelerators <=
                total.memory_gb);
}

bool is_block_feasible(const cluster& c, const block& b) {
    const host& h = c.hosts()[b.host];
    return c.is_schedulable(b.host) && (h.pinned & mask_of(b)) == 0 &&
           leaves_cores_and_memory(h, h.planned);
}

bool is_cell_feasible(const cluster& c, const guarantee_cell& cell) {
    return !cell.blocks.empty() &&
           std::all_of(cell.blocks.begin(), cell.blocks.end(),
                       [&](const block& b) { return is_block_feasible(c, b); });
}

void mark_planned(cluster& c, std::span<const block> blocks, bool planned) {
    for (const auto& b : blocks) {
        const accelerator_mask old = c.hosts()[b.host].planned;
        c.set_planned(b.host, planned ? old | mask_of(b) : old & ~mask_of(b));
    }
}

void unassign_blocks(cluster& c, std::span<guarantee_cell> cells, guarantee_cell& cell) {
    set_claim(c, cells, cell, "");
    mark_planned(c, cell.blocks, false);
    cell.blocks.clear();
}

/** A block that could serve a guarantee on one host. */
struct candidate {
    block location;
    int cost = std::numeric_limits<int>::max();
};

/** Returns the cheapest run on one host; its count is 0 if there is none. */
candidate best_on_host(const cluster& c, host_index index, int count) {
    candidate best;
    const host& h = c.hosts()[index];
    const int width = h.capacity.accelerators;
    if (!c.is_schedulable(index) || count > width) {
        return best;
    }
    const accelerator_mask allowed = mask_of(0, width) & ~h.pinned & ~h.planned;
    const int aligned = static_cast<int>(std::bit_ceil(static_cast<unsigned>(count)));
    const int step = aligned <= width ? aligned : 1;
    for (int first = 0; first + count <= width; first += step) {
        const accelerator_mask run = mask_of(first, count);
        if ((allowed & run) != run || !leaves_cores_and_memory(h, h.planned | run)) {
            continue;
        }
        const int used = std::popcount(h.used & run);
        const int cost = used * cost_of_used_accelerator + longest_run(allowed) - count;
        if (cost < best.cost) {
            best = {{index, first, count}, cost};
        }
    }
    return best;
}

/** Returns the cheapest blocks for a cell within one rack; empty if the rack has too few. */
std::vector<candidate> best_in_rack(const cluster& c, const rack& r, const guarantee_cell& cell) {
    std::vector<candidate> candidates;
    for (const host_index h : r.hosts) {
        const candidate best = best_on_host(c, h, cell.accelerators_per_host);
        if (best.location.count > 0) {
            candidates.push_back(best);
        }
    }
    if (static_cast<int>(candidates.size()) < cell.hosts) {
        return {};
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const candidate& a, const candidate& b) { return a.cost < b.cost; });
    candidates.resize(cell.hosts);
    return candidates;
}

void assign_blocks(cluster& c, guarantee_cell& cell) {
    const auto p = c.find_pool(cell.host_pool);
    if (!p) {
        return;
    }
    std::vector<candidate> best;
    int best_cost = std::numeric_limits<int>::max();
    for (const rack_index r : c.pools()[*p].racks) {
        auto candidates = best_in_rack(c, c.racks()[r], cell);
        const int cost = std::accumulate(candidates.begin(), candidates.end(), 0,
                                         [](int sum, const candidate& x) { return sum + x.cost; });
        if (!candidates.empty() && cost < best_cost) {
            best = std::move(candidates);
            best_cost = cost;
        }
    }
    for (const auto& chosen : best) {
        cell.blocks.push_back(chosen.location);
    }
    mark_planned(c, cell.blocks, true);
}

std::vector<std::size_t> largest_first(std::span<const guarantee_cell> cells) {
    std::vector<std::size_t> order(cells.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return cells[a].hosts * cells[a].accelerators_per_host >
               cells[b].hosts * cells[b].accelerators_per_host;
    });
    return order;
}

} // namespace

std::vector<guarantee_cell> make_guarantee_cells(const configuration& c) {
    std::vector<guarantee_cell> cells;
    for (const auto& g : c.guarantees) {
        for (int i = 0; i < g.count; ++i) {
            guarantee_cell cell;
            cell.name = g.name + "/" + std::to_string(i);
            cell.guarantee = g.name;
            cell.client_account = g.client_account;
            cell.host_pool = g.host_pool;
            cell.hosts = g.hosts;
            cell.accelerators_per_host = g.accelerators_per_host;
            cells.push_back(std::move(cell));
        }
    }
    return cells;
}

std::vector<std::size_t> update_reclaim_plan(cluster& c, std::vector<guarantee_cell>& cells) {
    std::vector<std::size_t> changed;
    for (const std::size_t i : largest_first(cells)) {
        if (!cells[i].blocks.empty() && !is_cell_feasible(c, cells[i])) {
            unassign_blocks(c, cells, cells[i]);
        }
    }
    for (const std::size_t i : largest_first(cells)) {
        if (cells[i].blocks.empty()) {
            assign_blocks(c, cells[i]);
            changed.push_back(i);
        }
    }
    return changed;
}

void set_claim(cluster& c, std::span<guarantee_cell> cells, guarantee_cell& cell,
               std::string claimed_by) {
    cell.claimed_by = std::move(claimed_by);
    for (const auto& b : cell.blocks) {
        accelerator_mask claimed = 0;
        for (const auto& other : cells) {
            if (other.claimed_by.empty()) {
                continue;
            }
            for (const auto& other_block : other.blocks) {
                claimed |= other_block.host == b.host ? mask_of(other_block) : 0;
            }
        }
        c.set_claimed(b.host, claimed);
    }
}

bool is_reclaim_plan_feasible(const cluster& c, std::span<const guarantee_cell> cells) {
    std::vector<accelerator_mask> assigned(c.hosts().size(), 0);
    for (const auto& cell : cells) {
        if (!is_cell_feasible(c, cell) || static_cast<int>(cell.blocks.size()) != cell.hosts) {
            return false;
        }
        for (const auto& b : cell.blocks) {
            if ((assigned[b.host] & mask_of(b)) != 0) {
                return false;
            }
            assigned[b.host] |= mask_of(b);
        }
    }
    return true;
}

} // namespace fulmarworks
