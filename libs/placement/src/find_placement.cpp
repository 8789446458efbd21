#include "placement/find_placement.h"

#include <algorithm>
#include <limits>

namespace fulmarworks {

namespace {

/** Hosts examined in one index bucket before the search goes on with the next longer run. */
constexpr int max_hosts_examined_per_bucket = 128;

bool is_excluded(const placement_request& request, host_index h) {
    return std::binary_search(request.excluded_hosts.begin(), request.excluded_hosts.end(), h);
}

bool is_candidate(const cluster& c, const placement_request& request, host_index h) {
    const host& state = c.hosts()[h];
    return !(state.on_probation && state.tasks > 0) &&
           c.has_cores_and_memory(h, request.shape, request.pinned) && !is_excluded(request, h);
}

/** Returns how many tasks of the request fit on one host. */
int tasks_that_fit(const cluster& c, const placement_request& request, host_index h) {
    if (!c.is_schedulable(h) || !is_candidate(c, request, h)) {
        return 0;
    }
    const host& state = c.hosts()[h];
    const task_shape& shape = request.shape;
    task_shape free = {0, state.capacity.cores - state.used_total.cores,
                       state.capacity.memory_gb - state.used_total.memory_gb};
    const int planned = std::popcount(state.planned);
    if (request.pinned && planned > 0) {
        const int width = state.capacity.accelerators;
        free.cores = std::min(free.cores, state.capacity.cores - state.pinned_total.cores -
                                              state.capacity.cores * planned / width);
        free.memory_gb =
            std::min(free.memory_gb, state.capacity.memory_gb - state.pinned_total.memory_gb -
                                         state.capacity.memory_gb * planned / width);
    }
    int fitting = state.on_probation ? 1 : request.tasks;
    if (shape.cores > 0) {
        fitting = std::min(fitting, free.cores / shape.cores);
    }
    if (shape.memory_gb > 0) {
        fitting = std::min(fitting, free.memory_gb / shape.memory_gb);
    }
    if (shape.accelerators > 0) {
        const auto available = c.available(h, request.scope);
        fitting = std::min(fitting, count_runs(available, shape.accelerators));
    }
    return std::max(fitting, 0);
}

/** Returns a block of `available` for one task; its count is -1 if none fits. */
block find_block_on_host(const cluster& c, const placement_request& request, host_index h,
                         accelerator_mask available) {
    const int count = request.shape.accelerators;
    if (count == 0) {
        return {h, 0, 0};
    }
    const auto first = best_run(available, c.hosts()[h].capacity.accelerators, count);
    return {h, first.value_or(0), first ? count : -1};
}

/** Splits each free run into blocks from its first bit on, which fits the most tasks. */
std::vector<block> split_runs(const placement_request& request, host_index h,
                              accelerator_mask available, int tasks) {
    std::vector<block> blocks;
    const int count = request.shape.accelerators;
    while (available != 0 && static_cast<int>(blocks.size()) < tasks) {
        const int first = std::countr_zero(available);
        if (std::countr_one(available >> first) >= count) {
            blocks.push_back({h, first, count});
            available &= ~mask_of(first, count);
        } else {
            available &= available - 1;
        }
    }
    return blocks;
}

/** Returns up to `tasks` blocks on one host, aligned unless that would fit fewer tasks. */
std::vector<block> fill_host(const cluster& c, const placement_request& request, host_index h,
                             int tasks) {
    std::vector<block> blocks;
    accelerator_mask available = c.available(h, request.scope);
    while (static_cast<int>(blocks.size()) < tasks) {
        const block b = find_block_on_host(c, request, h, available);
        if (b.count < 0) {
            return split_runs(request, h, c.available(h, request.scope), tasks);
        }
        available &= ~mask_of(b);
        blocks.push_back(b);
    }
    return blocks;
}

/** Number of tasks of a request that fit on a host. */
struct host_free_capacity {
    host_index host;
    int tasks;
};

std::vector<host_free_capacity>
free_capacity_in_rack(const cluster& c, const placement_request& request, const rack& r) {
    std::vector<host_free_capacity> capacities;
    for (const host_index h : r.hosts) {
        if (const int tasks = tasks_that_fit(c, request, h); tasks > 0) {
            capacities.push_back({h, tasks});
        }
    }
    std::stable_sort(
        capacities.begin(), capacities.end(),
        [](const host_free_capacity& a, const host_free_capacity& b) { return a.tasks > b.tasks; });
    return capacities;
}

int total_tasks(std::span<const host_free_capacity> capacities) {
    int total = 0;
    for (const auto& c : capacities) {
        total += c.tasks;
    }
    return total;
}

std::optional<std::vector<block>> fill_hosts(const cluster& c, const placement_request& request,
                                             std::span<const host_free_capacity> capacities) {
    std::vector<block> blocks;
    blocks.reserve(request.tasks);
    for (const auto& free : capacities) {
        const int missing = request.tasks - static_cast<int>(blocks.size());
        if (missing == 0) {
            break;
        }
        const auto filled = fill_host(c, request, free.host, std::min(free.tasks, missing));
        blocks.insert(blocks.end(), filled.begin(), filled.end());
    }
    if (static_cast<int>(blocks.size()) < request.tasks) {
        return std::nullopt;
    }
    return blocks;
}

int tasks_on_empty_host(const host& h, const task_shape& shape) {
    int fitting = std::numeric_limits<int>::max();
    if (shape.cores > 0) {
        fitting = std::min(fitting, h.capacity.cores / shape.cores);
    }
    if (shape.memory_gb > 0) {
        fitting = std::min(fitting, h.capacity.memory_gb / shape.memory_gb);
    }
    if (shape.accelerators > 0) {
        fitting = std::min(fitting, h.capacity.accelerators / shape.accelerators);
    }
    return fitting;
}

int tasks_in_empty_rack(const cluster& c, const rack& r, const task_shape& shape, int limit) {
    int total = 0;
    for (const host_index h : r.hosts) {
        const host& state = c.hosts()[h];
        if (state.status != host_status::removed) {
            total += std::min(limit, tasks_on_empty_host(state, shape));
        }
    }
    return total;
}

std::optional<std::vector<block>> place_in_one_rack(const cluster& c,
                                                    const placement_request& request) {
    const int needed = request.tasks * request.shape.accelerators;
    std::vector<host_free_capacity> best;
    int least_remaining = std::numeric_limits<int>::max();
    for (const auto& r : c.racks()) {
        const int remaining = r.free_accelerators - needed;
        if (remaining < 0 || remaining >= least_remaining) {
            continue;
        }
        auto capacities = free_capacity_in_rack(c, request, r);
        if (total_tasks(capacities) >= request.tasks) {
            best = std::move(capacities);
            least_remaining = remaining;
            if (request.first_fit) {
                break;
            }
        }
    }
    return best.empty() ? std::nullopt : fill_hosts(c, request, best);
}

std::optional<std::vector<block>>
place_across_racks(const cluster& c, const placement_request& request, const pool& p) {
    if (p.free_accelerators < request.tasks * request.shape.accelerators) {
        return std::nullopt;
    }
    std::vector<std::vector<host_free_capacity>> by_rack;
    for (const rack_index r : p.racks) {
        by_rack.push_back(free_capacity_in_rack(c, request, c.racks()[r]));
    }
    std::stable_sort(by_rack.begin(), by_rack.end(),
                     [](const auto& a, const auto& b) { return total_tasks(a) > total_tasks(b); });
    std::vector<host_free_capacity> capacities;
    for (const auto& rack_capacities : by_rack) {
        capacities.insert(capacities.end(), rack_capacities.begin(), rack_capacities.end());
    }
    return fill_hosts(c, request, capacities);
}

std::optional<std::vector<block>> place_gang(const cluster& c, const placement_request& request) {
    if (auto blocks = place_in_one_rack(c, request)) {
        return blocks;
    }
    for (const auto& p : c.pools()) {
        const bool fits_one_rack = std::any_of(p.racks.begin(), p.racks.end(), [&](rack_index r) {
            const int capacity = tasks_in_empty_rack(c, c.racks()[r], request.shape, request.tasks);
            return capacity >= request.tasks;
        });
        if (fits_one_rack) {
            continue;
        }
        if (auto blocks = place_across_racks(c, request, p)) {
            return blocks;
        }
    }
    return std::nullopt;
}

/** Returns the candidate in a bucket whose rack has the fewest empty hosts. */
std::optional<host_index> best_in_bucket(const cluster& c, const placement_request& request,
                                         const std::set<host_index>& bucket) {
    std::optional<host_index> best;
    int examined = 0;
    for (const host_index h : bucket) {
        if (++examined > max_hosts_examined_per_bucket) {
            break;
        }
        if (!is_candidate(c, request, h)) {
            continue;
        }
        if (request.first_fit) {
            return h;
        }
        const auto empty_hosts = [&](host_index i) {
            return c.racks()[c.hosts()[i].rack].empty_hosts;
        };
        if (!best || empty_hosts(h) < empty_hosts(*best)) {
            best = h;
        }
    }
    return best;
}

constexpr int max_run_length = 64;

std::optional<host_index> first_used_host_in_bucket(const cluster& c,
                                                    const placement_request& request,
                                                    const std::set<host_index>& bucket) {
    int examined = 0;
    for (const host_index h : bucket) {
        if (++examined > max_hosts_examined_per_bucket) {
            break;
        }
        if (c.hosts()[h].tasks > 0 && is_candidate(c, request, h)) {
            return h;
        }
    }
    return std::nullopt;
}

/** Returns the host in use with the lowest index that has a long enough run. */
std::optional<host_index> first_used_host(const cluster& c, const placement_request& request) {
    std::optional<host_index> first;
    for (pool_index p = 0; p < c.pools().size(); ++p) {
        for (int run = request.shape.accelerators; run <= max_run_length; ++run) {
            const auto h =
                first_used_host_in_bucket(c, request, c.hosts_with_run(p, request.scope, run));
            if (h && (!first || *h < *first)) {
                first = h;
            }
        }
    }
    return first;
}

std::optional<block> place_single(const cluster& c, const placement_request& request) {
    if (request.consolidate) {
        if (const auto h = first_used_host(c, request)) {
            return find_block_on_host(c, request, *h, c.available(*h, request.scope));
        }
    }
    for (int run = request.shape.accelerators; run <= max_run_length; ++run) {
        for (pool_index p = 0; p < c.pools().size(); ++p) {
            const auto& bucket = c.hosts_with_run(p, request.scope, run);
            if (const auto h = best_in_bucket(c, request, bucket)) {
                return find_block_on_host(c, request, *h, c.available(*h, request.scope));
            }
        }
    }
    return std::nullopt;
}

std::optional<block> place_first_fit(const cluster& c, const placement_request& request) {
    for (host_index h = 0; h < c.hosts().size(); ++h) {
        if (tasks_that_fit(c, request, h) > 0) {
            return find_block_on_host(c, request, h, c.available(h, request.scope));
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::vector<block>> find_placement(const cluster& c,
                                                 const placement_request& request) {
    if (request.tasks > 1) {
        return place_gang(c, request);
    }
    const auto placed = request.first_fit ? place_first_fit(c, request) : place_single(c, request);
    if (!placed) {
        return std::nullopt;
    }
    return std::vector<block>{*placed};
}

std::optional<std::vector<block>> find_placement_in_cell(const cluster& c,
                                                         std::span<const block> cell,
                                                         const task_shape& shape, int tasks) {
    std::vector<block> blocks;
    for (const auto& cell_block : cell) {
        if (!c.is_schedulable(cell_block.host)) {
            return std::nullopt;
        }
        const host& state = c.hosts()[cell_block.host];
        accelerator_mask available = mask_of(cell_block) & ~state.used;
        task_shape needed = {0, 0, 0};
        while (static_cast<int>(blocks.size()) < tasks) {
            needed.cores += shape.cores;
            needed.memory_gb += shape.memory_gb;
            const auto first =
                best_run(available, state.capacity.accelerators, std::max(shape.accelerators, 1));
            if (!first || !c.has_cores_and_memory(cell_block.host, needed, false)) {
                break;
            }
            const block b = {cell_block.host, *first, shape.accelerators};
            available &= ~mask_of(b.first, std::max(b.count, 1));
            blocks.push_back(b);
        }
    }
    if (static_cast<int>(blocks.size()) < tasks) {
        return std::nullopt;
    }
    return blocks;
}

bool fits_when_empty(const cluster& c, const task_shape& shape, int tasks) {
    for (const auto& p : c.pools()) {
        int total = 0;
        for (const rack_index r : p.racks) {
            total += tasks_in_empty_rack(c, c.racks()[r], shape, tasks);
            if (total >= tasks) {
                return true;
            }
        }
    }
    return false;
}

} // namespace fulmarworks
