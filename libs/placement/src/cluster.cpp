#include "placement/cluster.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr int max_run_length = 64;

template <class Index>
std::optional<Index> find_index(const std::unordered_map<std::string, Index>& names,
                                std::string_view name) {
    const auto found = names.find(std::string(name));
    if (found == names.end()) {
        return std::nullopt;
    }
    return found->second;
}

void add_shape(task_shape& total, const task_shape& shape, int sign) {
    total.accelerators += sign * shape.accelerators;
    total.cores += sign * shape.cores;
    total.memory_gb += sign * shape.memory_gb;
}

int free_accelerators_of(const host& h) {
    return h.capacity.accelerators - std::popcount(h.used);
}

} // namespace

pool_index cluster::add_pool(std::string name, std::string failure_domain) {
    const auto index = static_cast<pool_index>(pools_.size());
    pool_names_.emplace(name, index);
    pools_.push_back({std::move(name), std::move(failure_domain), {}, 0});
    unplanned_.emplace_back(max_run_length + 1);
    unclaimed_.emplace_back(max_run_length + 1);
    return index;
}

rack_index cluster::add_rack(pool_index parent, std::string name) {
    const auto index = static_cast<rack_index>(racks_.size());
    rack_names_.emplace(name, index);
    rack added;
    added.name = std::move(name);
    added.pool = parent;
    racks_.push_back(std::move(added));
    pools_[parent].racks.push_back(index);
    return index;
}

host_index cluster::add_host(rack_index parent, std::string name, task_shape capacity, bool spare) {
    const auto index = static_cast<host_index>(hosts_.size());
    host_names_.emplace(name, index);
    host added;
    added.name = std::move(name);
    added.rack = parent;
    added.pool = racks_[parent].pool;
    added.capacity = capacity;
    added.spare = spare;
    added.used_total = added.pinned_total = {0, 0, 0};
    hosts_.push_back(std::move(added));
    indexed_run_lengths_.emplace_back();
    racks_[parent].hosts.push_back(index);
    if (spare) {
        spare_hosts_.push_back(index);
    }
    return index;
}

bool cluster::is_schedulable(host_index h) const {
    return hosts_[h].status == host_status::up && !hosts_[h].quarantined;
}

cluster::hosts_by_run& cluster::buckets(pool_index p, accelerator_scope scope) {
    return scope == accelerator_scope::unplanned ? unplanned_[p] : unclaimed_[p];
}

void cluster::remove_from_index(host_index h) {
    indexed_run_lengths& runs = indexed_run_lengths_[h];
    if (runs.unclaimed < 0) {
        return;
    }
    const host& state = hosts_[h];
    buckets(state.pool, accelerator_scope::unplanned)[runs.unplanned].erase(h);
    buckets(state.pool, accelerator_scope::unclaimed)[runs.unclaimed].erase(h);
    racks_[state.rack].free_accelerators -= free_accelerators_of(state);
    pools_[state.pool].free_accelerators -= free_accelerators_of(state);
    pools_[state.pool].free_unplanned_accelerators -=
        std::popcount(available(h, accelerator_scope::unplanned));
    racks_[state.rack].empty_hosts -= state.tasks == 0 ? 1 : 0;
    runs = {};
}

void cluster::add_to_index(host_index h) {
    if (!is_schedulable(h)) {
        return;
    }
    const host& state = hosts_[h];
    indexed_run_lengths& runs = indexed_run_lengths_[h];
    runs.unplanned = longest_run(available(h, accelerator_scope::unplanned));
    runs.unclaimed = longest_run(available(h, accelerator_scope::unclaimed));
    buckets(state.pool, accelerator_scope::unplanned)[runs.unplanned].insert(h);
    buckets(state.pool, accelerator_scope::unclaimed)[runs.unclaimed].insert(h);
    racks_[state.rack].free_accelerators += free_accelerators_of(state);
    pools_[state.pool].free_accelerators += free_accelerators_of(state);
    pools_[state.pool].free_unplanned_accelerators +=
        std::popcount(available(h, accelerator_scope::unplanned));
    racks_[state.rack].empty_hosts += state.tasks == 0 ? 1 : 0;
}

template <class Change>
void cluster::update(host_index h, Change change) {
    remove_from_index(h);
    change(hosts_[h]);
    add_to_index(h);
}

void cluster::set_status(host_index h, host_status status) {
    update(h, [&](host& state) { state.status = status; });
}

void cluster::set_quarantined(host_index h, bool quarantined) {
    update(h, [&](host& state) { state.quarantined = quarantined; });
}

void cluster::set_probation(host_index h, bool on_probation) {
    update(h, [&](host& state) { state.on_probation = on_probation; });
}

void cluster::set_planned(host_index h, accelerator_mask planned) {
    update(h, [&](host& state) { state.planned = planned; });
}

void cluster::set_claimed(host_index h, accelerator_mask claimed) {
    update(h, [&](host& state) { state.claimed = claimed; });
}

void cluster::allocate(const block& b, const task_shape& shape, bool pinned) {
    update(b.host, [&](host& state) {
        ++state.tasks;
        state.used |= mask_of(b);
        add_shape(state.used_total, shape, 1);
        if (pinned) {
            state.pinned |= mask_of(b);
            add_shape(state.pinned_total, shape, 1);
        }
    });
}

void cluster::release(const block& b, const task_shape& shape, bool pinned) {
    update(b.host, [&](host& state) {
        --state.tasks;
        state.used &= ~mask_of(b);
        add_shape(state.used_total, shape, -1);
        if (pinned) {
            state.pinned &= ~mask_of(b);
            add_shape(state.pinned_total, shape, -1);
        }
    });
}

accelerator_mask cluster::available(host_index h, accelerator_scope scope) const {
    const host& state = hosts_[h];
    const accelerator_mask excluded =
        scope == accelerator_scope::unplanned ? state.planned : state.claimed;
    return mask_of(0, state.capacity.accelerators) & ~state.used & ~excluded;
}

bool cluster::has_cores_and_memory(host_index h, const task_shape& shape, bool pinned) const {
    const host& state = hosts_[h];
    const task_shape& total = state.capacity;
    if (state.used_total.cores + shape.cores > total.cores ||
        state.used_total.memory_gb + shape.memory_gb > total.memory_gb) {
        return false;
    }
    const int planned = std::popcount(state.planned);
    if (!pinned || planned == 0) {
        return true;
    }
    const int planned_cores = total.cores * planned / total.accelerators;
    const int planned_memory = total.memory_gb * planned / total.accelerators;
    return state.pinned_total.cores + shape.cores <= total.cores - planned_cores &&
           state.pinned_total.memory_gb + shape.memory_gb <= total.memory_gb - planned_memory;
}

bool cluster::can_allocate(const block& b, const task_shape& shape) const {
    if (b.host >= hosts_.size() || b.first < 0 || b.count != shape.accelerators ||
        b.first + b.count > hosts_[b.host].capacity.accelerators) {
        return false;
    }
    return (hosts_[b.host].used & mask_of(b)) == 0 && has_cores_and_memory(b.host, shape, false);
}

std::optional<host_index> cluster::find_host(std::string_view name) const {
    return find_index(host_names_, name);
}

std::optional<rack_index> cluster::find_rack(std::string_view name) const {
    return find_index(rack_names_, name);
}

std::optional<pool_index> cluster::find_pool(std::string_view name) const {
    return find_index(pool_names_, name);
}

const std::set<host_index>& cluster::hosts_with_run(pool_index p, accelerator_scope scope,
                                                    int run) const {
    return scope == accelerator_scope::unplanned ? unplanned_[p][run] : unclaimed_[p][run];
}

double fragmentation(const cluster& c, int hosts, int accelerators) {
    int free = 0;
    int servable = 0;
    for (const auto& r : c.racks()) {
        free += r.free_accelerators;
        std::vector<int> runs;
        for (const host_index h : r.hosts) {
            if (c.is_schedulable(h)) {
                const host& state = c.hosts()[h];
                const accelerator_mask all = mask_of(0, state.capacity.accelerators);
                runs.push_back(count_runs(all & ~state.used, accelerators));
            }
        }
        // Repeatedly uses one run of each of the `hosts` hosts with the most runs left, until fewer
        // than `hosts` have a run left.
        while (static_cast<int>(runs.size()) >= hosts) {
            std::nth_element(runs.begin(), runs.begin() + (hosts - 1), runs.end(),
                             std::greater<>());
            if (runs[hosts - 1] == 0) {
                break;
            }
            for (int i = 0; i < hosts; ++i) {
                --runs[i];
            }
            servable += hosts * accelerators;
        }
    }
    return free == 0 ? 0.0 : 1.0 - static_cast<double>(servable) / free;
}

} // namespace fulmarworks
