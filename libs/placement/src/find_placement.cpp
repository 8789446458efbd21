#include "placement/find_placement.h"

#include <algorithm>
#include <limits>

namespace fulmarworks {

namespace {

/** Hosts looked at in one index bucket before the next longer run is tried. */
constexpr int max_candidates_per_run = 128;

bool is_avoided(const placement_request& request, host_index h) {
    return std::binary_search(request.avoid.begin(), request.avoid.end(), h);
}

bool is_candidate(const cluster& c, const placement_request& request, host_index h) {
    const host& state = c.hosts()[h];
    return !(state.on_probation && state.tasks > 0) &&
           c.has_cores_and_memory(h, request.shape, request.pinned) && !is_avoided(request, h);
}

/** Returns how many tasks of the shape fit on one host. */
int count_tasks(const cluster& c, const placement_request& request, host_index h) {
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
        const auto available = c.available(h, request.where);
        fitting = std::min(fitting, count_runs(available, shape.accelerators));
    }
    return std::max(fitting, 0);
}

/** Returns the block for a task among `available`, or one of count -1. */
block place_on(const cluster& c, const placement_request& request, host_index h,
               accelerator_mask available) {
    const int count = request.shape.accelerators;
    if (count == 0) {
        return {h, 0, 0};
    }
    const auto first = best_run(available, c.hosts()[h].capacity.accelerators, count);
    return {h, first.value_or(0), first ? count : -1};
}

/** Cuts every free run into blocks from its start, which fits as many tasks as can fit. */
std::vector<block> cut_runs(const placement_request& request, host_index h,
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

/** Returns up to `tasks` blocks on one host, aligned where that fits as many tasks. */
std::vector<block> fill_host(const cluster& c, const placement_request& request, host_index h,
                             int tasks) {
    std::vector<block> blocks;
    accelerator_mask available = c.available(h, request.where);
    while (static_cast<int>(blocks.size()) < tasks) {
        const block b = place_on(c, request, h, available);
        if (b.count < 0) {
            return cut_runs(request, h, c.available(h, request.where), tasks);
        }
        available &= ~mask_of(b);
        blocks.push_back(b);
    }
    return blocks;
}

struct host_room {
    host_index host;
    int tasks;
};

std::vector<host_room> room_in_rack(const cluster& c, const placement_request& request,
                                    const rack& r) {
    std::vector<host_room> rooms;
    for (const host_index h : r.hosts) {
        if (const int tasks = count_tasks(c, request, h); tasks > 0) {
            rooms.push_back({h, tasks});
        }
    }
    std::stable_sort(rooms.begin(), rooms.end(),
                     [](const host_room& a, const host_room& b) { return a.tasks > b.tasks; });
    return rooms;
}

int total_tasks(std::span<const host_room> rooms) {
    int total = 0;
    for (const auto& room : rooms) {
        total += room.tasks;
    }
    return total;
}

std::optional<std::vector<block>> fill_hosts(const cluster& c, const placement_request& request,
                                             std::span<const host_room> rooms) {
    std::vector<block> blocks;
    blocks.reserve(request.tasks);
    for (const auto& room : rooms) {
        const int missing = request.tasks - static_cast<int>(blocks.size());
        if (missing == 0) {
            break;
        }
        const auto filled = fill_host(c, request, room.host, std::min(room.tasks, missing));
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
    std::vector<host_room> best;
    int best_left = std::numeric_limits<int>::max();
    for (const auto& r : c.racks()) {
        const int left = r.free_accelerators - needed;
        if (left < 0 || left >= best_left) {
            continue;
        }
        auto rooms = room_in_rack(c, request, r);
        if (total_tasks(rooms) >= request.tasks) {
            best = std::move(rooms);
            best_left = left;
            if (request.first_fit) {
                break;
            }
        }
    }
    return best.empty() ? std::nullopt : fill_hosts(c, request, best);
}

std::optional<std::vector<block>>
place_over_racks(const cluster& c, const placement_request& request, const pool& p) {
    if (p.free_accelerators < request.tasks * request.shape.accelerators) {
        return std::nullopt;
    }
    std::vector<std::vector<host_room>> by_rack;
    for (const rack_index r : p.racks) {
        by_rack.push_back(room_in_rack(c, request, c.racks()[r]));
    }
    std::stable_sort(by_rack.begin(), by_rack.end(),
                     [](const auto& a, const auto& b) { return total_tasks(a) > total_tasks(b); });
    std::vector<host_room> rooms;
    for (const auto& rack_rooms : by_rack) {
        rooms.insert(rooms.end(), rack_rooms.begin(), rack_rooms.end());
    }
    return fill_hosts(c, request, rooms);
}

std::optional<std::vector<block>> place_gang(const cluster& c, const placement_request& request) {
    if (auto blocks = place_in_one_rack(c, request)) {
        return blocks;
    }
    for (const auto& p : c.pools()) {
        const bool fits_one_rack = std::any_of(p.racks.begin(), p.racks.end(), [&](rack_index r) {
            const int room = tasks_in_empty_rack(c, c.racks()[r], request.shape, request.tasks);
            return room >= request.tasks;
        });
        if (fits_one_rack) {
            continue;
        }
        if (auto blocks = place_over_racks(c, request, p)) {
            return blocks;
        }
    }
    return std::nullopt;
}

/** Returns the best host of one bucket: the one in the rack with the fewest empty hosts. */
std::optional<host_index> best_in_bucket(const cluster& c, const placement_request& request,
                                         const std::set<host_index>& bucket) {
    std::optional<host_index> best;
    int looked_at = 0;
    for (const host_index h : bucket) {
        if (++looked_at > max_candidates_per_run) {
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

constexpr int longest = 64;

std::optional<host_index> first_in_bucket(const cluster& c, const placement_request& request,
                                          const std::set<host_index>& bucket) {
    int looked_at = 0;
    for (const host_index h : bucket) {
        if (++looked_at > max_candidates_per_run) {
            break;
        }
        if (c.hosts()[h].tasks > 0 && is_candidate(c, request, h)) {
            return h;
        }
    }
    return std::nullopt;
}

/** Returns the first host in use, in order of index, that has a long enough run. */
std::optional<host_index> first_in_use(const cluster& c, const placement_request& request) {
    std::optional<host_index> first;
    for (pool_index p = 0; p < c.pools().size(); ++p) {
        for (int run = request.shape.accelerators; run <= longest; ++run) {
            const auto h = first_in_bucket(c, request, c.hosts_with_run(p, request.where, run));
            if (h && (!first || *h < *first)) {
                first = h;
            }
        }
    }
    return first;
}

std::optional<block> place_single(const cluster& c, const placement_request& request) {
    if (request.consolidate) {
        if (const auto h = first_in_use(c, request)) {
            return place_on(c, request, *h, c.available(*h, request.where));
        }
    }
    for (int run = request.shape.accelerators; run <= longest; ++run) {
        for (pool_index p = 0; p < c.pools().size(); ++p) {
            const auto& bucket = c.hosts_with_run(p, request.where, run);
            if (const auto h = best_in_bucket(c, request, bucket)) {
                return place_on(c, request, *h, c.available(*h, request.where));
            }
        }
    }
    return std::nullopt;
}

std::optional<block> place_first_fit(const cluster& c, const placement_request& request) {
    for (host_index h = 0; h < c.hosts().size(); ++h) {
        if (count_tasks(c, request, h) > 0) {
            return place_on(c, request, h, c.available(h, request.where));
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
    for (const auto& area : cell) {
        if (!c.is_schedulable(area.host)) {
            return std::nullopt;
        }
        const host& state = c.hosts()[area.host];
        accelerator_mask available = mask_of(area) & ~state.used;
        task_shape needed = {0, 0, 0};
        while (static_cast<int>(blocks.size()) < tasks) {
            needed.cores += shape.cores;
            needed.memory_gb += shape.memory_gb;
            const auto first =
                best_run(available, state.capacity.accelerators, std::max(shape.accelerators, 1));
            if (!first || !c.has_cores_and_memory(area.host, needed, false)) {
                break;
            }
            const block b = {area.host, *first, shape.accelerators};
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
