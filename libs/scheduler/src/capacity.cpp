#include "capacity.h"

#include "lookup.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

bool accepts_work(const worker& w, time_ms now_ms) {
    return w.listed && w.verified && w.failed_polls == 0 && !w.report.draining &&
           w.quarantined_until_ms <= now_ms;
}

const resources& room_of(const worker_capacity& room, capacity_kind kind) {
    return kind == capacity_kind::free ? room.free : room.free_after_stops;
}

/** Best room of one search so far. */
struct best_room {
    std::optional<capacity_index::search_key> key;

    void offer(const capacity_index::search_key& candidate) {
        if (!key || candidate < *key) {
            key = candidate;
        }
    }
    [[nodiscard]] std::optional<worker_index> room() const {
        return key ? std::optional(std::get<worker_index>(*key)) : std::nullopt;
    }
};

void offer_if_suitable(best_room& best, const capacity_index& capacities, worker_index number,
                       const task_group_request& request, const resources& need,
                       capacity_kind kind) {
    const worker_capacity& room = capacities.at(number);
    const resources& there = room_of(room, kind);
    if (fits(need, there) && eligible(room, request)) {
        best.offer({there.accelerators, there.memory_mb, number});
    }
}

/** Goes through the open rooms in the order of a best fit, from the first that can be large enough.
 */
void search_in_order(best_room& best, const capacity_index& capacities,
                     const task_group_request& request, const resources& need, capacity_kind kind) {
    const auto& open = capacities.accepting_workers(request.owner->spec.policy.pool);
    auto it = open.lower_bound({need.accelerators, need.memory_mb, 0});
    while (it != open.end()) {
        const auto& [accelerators, memory_mb, number] = *it;
        if (memory_mb < need.memory_mb) {
            it = open.lower_bound({accelerators, need.memory_mb, 0});
            continue;
        }
        const worker_capacity& room = capacities.at(number);
        // Rooms with stops are ordered by what is free now, and are looked at one by one.
        const bool ordered = kind == capacity_kind::free || room.free == room.free_after_stops;
        if (ordered && need.cpu_millis <= room.free.cpu_millis && eligible(room, request)) {
            best.offer(*it);
            return;
        }
        ++it;
    }
}

std::optional<worker_index> find_best(const capacity_index& capacities, search_scope among,
                                      const task_group_request& request, const resources& need,
                                      capacity_kind kind) {
    best_room best;
    if (among != all_racks) {
        for (const worker_index number : among->workers) {
            offer_if_suitable(best, capacities, number, request, need, kind);
        }
        return best.room();
    }
    search_in_order(best, capacities, request, need, kind);
    if (kind == capacity_kind::free_after_stops) {
        for (const worker_index number : capacities.with_stops()) {
            offer_if_suitable(best, capacities, number, request, need, kind);
        }
    }
    return best.room();
}

} // namespace

worker_capacity compute_capacity(coordinator_state& state, const worker& w, time_ms now_ms) {
    worker_capacity room{
        w.report.incarnation.id, &w, w.report.capacity, {}, accepts_work(w, now_ms)};
    resources ending;
    for (const auto& task : w.assigned) {
        const task_ref place = find_task(state, task);
        if (!place) {
            continue;
        }
        room.free -= booked_resources(*place.spec);
        if (place.item->phase == task_phase::stopping) {
            ending += booked_resources(*place.spec);
        }
    }
    for (const auto& stray : w.strays) {
        if (!stray.ending) {
            room.free -= stray.need;
            ending += stray.need;
        }
    }
    room.free_after_stops = room.free;
    room.free_after_stops += ending;
    return room;
}

void refresh_capacities(coordinator_state& state, time_ms now_ms) {
    for (const auto& id : state.capacities.take_marked()) {
        const worker* w = find_worker(state, id);
        if (w == nullptr) {
            state.capacities.remove(id);
            continue;
        }
        state.capacities.set(compute_capacity(state, *w, now_ms));
        if (w->quarantined_until_ms > now_ms) {
            state.capacities.mark(id);
        }
    }
}

bool eligible(const worker_capacity& room, const task_group_request& request) {
    if (!room.accepts_tasks || room.host->report.pool != request.owner->spec.policy.pool) {
        return false;
    }
    const std::string& label = request.spec->required_label;
    const auto& labels = room.host->report.labels;
    if (!label.empty() && std::find(labels.begin(), labels.end(), label) == labels.end()) {
        return false;
    }
    if (request.avoid.contains(room.id)) {
        return false;
    }
    if (!limits_tasks_per_worker(request)) {
        return true;
    }
    const auto there = request.already_there.find(room.id);
    return there == request.already_there.end() ||
           there->second < request.spec->max_tasks_per_worker;
}

bool may_fit(const capacity_index& capacities, search_scope among, const resources& need,
             std::size_t count, capacity_kind kind) {
    if (among == all_racks) {
        return kind == capacity_kind::free_after_stops ||
               need.accelerators * static_cast<std::int64_t>(count) <=
                   capacities.free_accelerators();
    }
    const std::int64_t there = kind == capacity_kind::free ? among->free_accelerators
                                                           : among->free_accelerators_after_stops;
    return need.accelerators * static_cast<std::int64_t>(count) <= there;
}

std::vector<worker_index> book_best_fit(capacity_index& capacities, search_scope among,
                                        task_group_request& request, std::size_t count,
                                        capacity_kind kind) {
    const resources need = booked_resources(*request.spec);
    std::vector<worker_index> chosen;
    while (chosen.size() < count) {
        const auto best = find_best(capacities, among, request, need, kind);
        if (!best) {
            break;
        }
        book(capacities, request, *best);
        chosen.push_back(*best);
    }
    return chosen;
}

capacity_change book(capacity_index& capacities, task_group_request& request, worker_index room) {
    const resources taken = -booked_resources(*request.spec);
    const capacity_change change{room, taken, taken};
    capacities.adjust(change);
    if (limits_tasks_per_worker(request)) {
        ++request.already_there[capacities.at(room).id];
    }
    return change;
}

void unbook(capacity_index& capacities, task_group_request& request,
            std::span<const worker_index> chosen) {
    const resources taken = -booked_resources(*request.spec);
    for (const worker_index room : chosen) {
        capacities.revert({room, taken, taken});
        if (limits_tasks_per_worker(request)) {
            --request.already_there[capacities.at(room).id];
        }
    }
}

} // namespace fulmarworks::scheduler
