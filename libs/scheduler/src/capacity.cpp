#include "capacity.h"

#include "lookup.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

bool accepts_work(const coordinator_state& state, const worker& w, time_ms now_ms) {
    return w.listed && w.verified && w.failed_polls == 0 && takes_starts(state, w) &&
           w.quarantined_until_ms <= now_ms;
}

const resources& available_in(const worker_capacity& capacity, capacity_kind kind) {
    return kind == capacity_kind::free ? capacity.free : capacity.free_after_stops;
}

/** Returns whether tasks of the request may run beside the other jobs' runs on the worker. */
bool keeps_isolation(const worker_capacity& capacity, const task_group_request& request) {
    if (capacity.suspect != nullptr) {
        return capacity.suspect == request.owner;
    }
    switch (request.required_isolation) {
    case isolation::none: return true;
    case isolation::from_unproven_runs: return !capacity.has_unproven_run;
    case isolation::exclusive: return !capacity.in_use;
    }
    return true;
}

/** Returns how many times `need`, at most `limit`, fits into `available`. */
std::size_t count_fitting(const resources& need, const resources& available, std::size_t limit) {
    const auto most = static_cast<std::int64_t>(limit);
    const auto times = [&](std::int64_t needed, std::int64_t offered) {
        return needed == 0 ? (offered < 0 ? 0 : most)
                           : std::clamp<std::int64_t>(offered / needed, 0, most);
    };
    return static_cast<std::size_t>(std::min({times(need.accelerators, available.accelerators),
                                              times(need.memory_mb, available.memory_mb),
                                              times(need.cpu_millis, available.cpu_millis)}));
}

/** Returns whether the workers of a rack have the resources for `count` tasks. */
bool has_room(const capacity_index& capacities, const rack_capacity& rack,
              const task_group_request& request, const resources& need, std::size_t count,
              capacity_kind kind) {
    std::size_t found = 0;
    for (const worker_index index : rack.workers) {
        const worker_capacity& capacity = capacities.at(index);
        if (capacity.accepts_tasks && contains(request.speeds, capacity.speed)) {
            found += count_fitting(need, available_in(capacity, kind), count);
        }
    }
    return found >= count;
}

/** Best worker found so far in one search. */
struct best_candidate {
    std::optional<capacity_index::search_key> key;

    void consider(const capacity_index::search_key& candidate) {
        if (!key || candidate < *key) {
            key = candidate;
        }
    }
    [[nodiscard]] std::optional<worker_index> index() const {
        return key ? std::optional(std::get<worker_index>(*key)) : std::nullopt;
    }
};

void consider_worker(best_candidate& best, const capacity_index& capacities, worker_index index,
                     const task_group_request& request, const resources& need, capacity_kind kind) {
    const worker_capacity& capacity = capacities.at(index);
    const resources& available = available_in(capacity, kind);
    if (fits(need, available) && eligible(capacity, request)) {
        best.consider({available.accelerators, available.memory_mb, index});
    }
}

/**
 * Searches workers of one speed class of the pool that accept tasks in best-fit order, starting at
 * the first that may be large enough.
 */
void search_by_best_fit(best_candidate& best, const capacity_index& capacities,
                        const std::set<capacity_index::search_key>& accepting,
                        const task_group_request& request, const resources& need,
                        capacity_kind kind) {
    auto it = accepting.lower_bound({need.accelerators, need.memory_mb, 0});
    while (it != accepting.end()) {
        const auto& [accelerators, memory_mb, index] = *it;
        if (memory_mb < need.memory_mb) {
            it = accepting.lower_bound({accelerators, need.memory_mb, 0});
            continue;
        }
        const worker_capacity& capacity = capacities.at(index);
        // Workers with pending stops are ordered by their current free capacity, so a search in
        // `free_after_stops` examines them separately.
        const bool ordered =
            kind == capacity_kind::free || capacity.free == capacity.free_after_stops;
        if (ordered && need.cpu_millis <= capacity.free.cpu_millis && eligible(capacity, request)) {
            best.consider(*it);
            return;
        }
        ++it;
    }
}

std::optional<worker_index> find_best(const capacity_index& capacities, search_scope scope,
                                      const task_group_request& request, const resources& need,
                                      capacity_kind kind) {
    best_candidate best;
    if (scope != all_racks) {
        for (const worker_index index : scope->workers) {
            consider_worker(best, capacities, index, request, need, kind);
        }
        return best.index();
    }
    const auto& accepting = capacities.accepting_workers(request.owner->policy.pool);
    for (std::size_t speed = 0; speed < speed_class_count; ++speed) {
        if (request.speeds[speed]) {
            search_by_best_fit(best, capacities, accepting[speed], request, need, kind);
        }
    }
    if (kind == capacity_kind::free_after_stops) {
        for (const worker_index index : capacities.workers_with_stops()) {
            consider_worker(best, capacities, index, request, need, kind);
        }
    }
    return best.index();
}

} // namespace

worker_capacity compute_capacity(coordinator_state& state, const worker& w, time_ms now_ms) {
    worker_capacity capacity;
    capacity.id = w.report.incarnation.id;
    capacity.host = &w;
    capacity.free = w.report.capacity;
    capacity.accepts_tasks = accepts_work(state, w, now_ms);
    capacity.in_use = !w.assigned.empty() || !w.orphaned_runs.empty();
    const auto known_speed = state.speeds.by_worker.find(capacity.id);
    if (known_speed != state.speeds.by_worker.end()) {
        capacity.speed = known_speed->second.speed;
    }
    resources ending;
    for (const auto& task : w.assigned) {
        const task_ref ref = find_task(state, task);
        if (!ref) {
            continue;
        }
        capacity.free -= booked_resources(*ref.spec);
        if (ref.item->phase == task_phase::stopping) {
            ending += booked_resources(*ref.spec);
        }
        capacity.has_unproven_run = capacity.has_unproven_run || !ref.item->proven;
        if (!ref.item->proven && is_suspect(ref.item->losses)) {
            capacity.suspect = ref.owner;
        }
    }
    for (const auto& orphan : w.orphaned_runs) {
        if (!orphan.ending) {
            capacity.free -= orphan.need;
            ending += orphan.need;
        }
    }
    capacity.free_after_stops = capacity.free;
    capacity.free_after_stops += ending;
    return capacity;
}

void refresh_capacities(coordinator_state& state, time_ms now_ms) {
    for (const auto& id : state.capacities.take_stale_workers()) {
        const worker* w = find_worker(state, id);
        if (w == nullptr) {
            state.capacities.remove(id);
            continue;
        }
        state.capacities.set(compute_capacity(state, *w, now_ms));
        if (w->quarantined_until_ms > now_ms) {
            state.capacities.mark_stale(id);
        }
    }
}

bool eligible(const worker_capacity& capacity, const task_group_request& request) {
    if (!capacity.accepts_tasks || !contains(request.speeds, capacity.speed) ||
        capacity.host->report.pool != request.owner->policy.pool) {
        return false;
    }
    const std::string& rack = capacity.host->report.rack;
    if (request.avoided_racks != nullptr && rack != request.spec->data_rack &&
        request.avoided_racks->contains(rack)) {
        return false;
    }
    const std::string& label = request.spec->required_label;
    const auto& labels = capacity.host->report.labels;
    if (!label.empty() && std::find(labels.begin(), labels.end(), label) == labels.end()) {
        return false;
    }
    if (request.excluded_workers.contains(capacity.id) || !keeps_isolation(capacity, request)) {
        return false;
    }
    if (!limits_tasks_per_worker(request)) {
        return true;
    }
    const auto tasks = request.tasks_by_worker.find(capacity.id);
    return tasks == request.tasks_by_worker.end() ||
           tasks->second < request.spec->max_tasks_per_worker;
}

bool may_fit(const capacity_index& capacities, search_scope scope,
             const task_group_request& request, std::size_t count, capacity_kind kind) {
    if (scope == all_racks && kind == capacity_kind::free_after_stops) {
        return true;
    }
    const resources need = booked_resources(*request.spec);
    const accelerators_by_speed& sums =
        scope == all_racks ? capacities.by_speed() : scope->by_speed;
    const auto& available = kind == capacity_kind::free ? sums.free : sums.free_after_stops;
    std::int64_t accelerators = 0;
    for (std::size_t speed = 0; speed < speed_class_count; ++speed) {
        accelerators += request.speeds[speed] ? available[speed] : 0;
    }
    if (need.accelerators * static_cast<std::int64_t>(count) > accelerators) {
        return false;
    }
    return scope == all_racks || has_room(capacities, *scope, request, need, count, kind);
}

std::vector<worker_index> book_best_fit(capacity_index& capacities, search_scope scope,
                                        task_group_request& request, std::size_t count,
                                        capacity_kind kind) {
    const resources need = booked_resources(*request.spec);
    std::vector<worker_index> chosen;
    while (chosen.size() < count) {
        const auto best = find_best(capacities, scope, request, need, kind);
        if (!best) {
            break;
        }
        book(capacities, request, *best);
        chosen.push_back(*best);
    }
    return chosen;
}

capacity_change book(capacity_index& capacities, task_group_request& request, worker_index index) {
    const resources taken = -booked_resources(*request.spec);
    const capacity_change change{index, taken, taken};
    capacities.adjust(change);
    if (limits_tasks_per_worker(request)) {
        ++request.tasks_by_worker[capacities.at(index).id];
    }
    return change;
}

void unbook(capacity_index& capacities, task_group_request& request,
            std::span<const worker_index> chosen) {
    const resources taken = -booked_resources(*request.spec);
    for (const worker_index index : chosen) {
        capacities.revert({index, taken, taken});
        if (limits_tasks_per_worker(request)) {
            --request.tasks_by_worker[capacities.at(index).id];
        }
    }
}

} // namespace fulmarworks::scheduler
