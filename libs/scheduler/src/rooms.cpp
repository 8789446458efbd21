#include "rooms.h"

#include "lookup.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

bool accepts_work(const worker& w, time_ms now_ms) {
    return w.listed && w.verified && w.failed_polls == 0 && !w.report.draining &&
           w.quarantined_until_ms <= now_ms;
}

const resources& room_of(const worker_room& room, room_kind kind) {
    return kind == room_kind::free ? room.free : room.soon;
}

/** Best room of one search so far. */
struct best_room {
    std::optional<room_index::search_key> key;

    void offer(const room_index::search_key& candidate) {
        if (!key || candidate < *key) {
            key = candidate;
        }
    }
    [[nodiscard]] std::optional<room_number> room() const {
        return key ? std::optional(std::get<room_number>(*key)) : std::nullopt;
    }
};

void offer_if_suitable(best_room& best, const room_index& rooms, room_number number,
                       const placement_request& request, const resources& need, room_kind kind) {
    const worker_room& room = rooms.at(number);
    const resources& there = room_of(room, kind);
    if (fits(need, there) && eligible(room, request)) {
        best.offer({there.accelerators, there.memory_mb, number});
    }
}

/** Goes through the open rooms in the order of a best fit, from the first that can be large enough.
 */
void search_in_order(best_room& best, const room_index& rooms, const placement_request& request,
                     const resources& need, room_kind kind) {
    const auto& open = rooms.open_in(request.owner->spec.terms.pool);
    auto it = open.lower_bound({need.accelerators, need.memory_mb, 0});
    while (it != open.end()) {
        const auto& [accelerators, memory_mb, number] = *it;
        if (memory_mb < need.memory_mb) {
            it = open.lower_bound({accelerators, need.memory_mb, 0});
            continue;
        }
        const worker_room& room = rooms.at(number);
        // Rooms with stops are ordered by what is free now, and are looked at one by one.
        const bool ordered = kind == room_kind::free || room.free == room.soon;
        if (ordered && need.cpu_millis <= room.free.cpu_millis && eligible(room, request)) {
            best.offer(*it);
            return;
        }
        ++it;
    }
}

std::optional<room_number> find_best(const room_index& rooms, search_scope among,
                                     const placement_request& request, const resources& need,
                                     room_kind kind) {
    best_room best;
    if (among != all_racks) {
        for (const room_number number : among->rooms) {
            offer_if_suitable(best, rooms, number, request, need, kind);
        }
        return best.room();
    }
    search_in_order(best, rooms, request, need, kind);
    if (kind == room_kind::soon) {
        for (const room_number number : rooms.with_stops()) {
            offer_if_suitable(best, rooms, number, request, need, kind);
        }
    }
    return best.room();
}

} // namespace

worker_room measure_room(coordinator_state& state, const worker& w, time_ms now_ms) {
    worker_room room{w.report.life.id, &w, w.report.capacity, {}, accepts_work(w, now_ms)};
    resources ending;
    for (const auto& task : w.assigned) {
        const task_place place = find_task(state, task);
        if (!place) {
            continue;
        }
        room.free -= booked(*place.spec);
        if (place.item->phase == task_phase::stopping) {
            ending += booked(*place.spec);
        }
    }
    for (const auto& stray : w.strays) {
        if (!stray.ending) {
            room.free -= stray.need;
            ending += stray.need;
        }
    }
    room.soon = room.free;
    room.soon += ending;
    return room;
}

void refresh_rooms(coordinator_state& state, time_ms now_ms) {
    for (const auto& id : state.rooms.take_marked()) {
        const worker* w = find_worker(state, id);
        if (w == nullptr) {
            state.rooms.remove(id);
            continue;
        }
        state.rooms.set(measure_room(state, *w, now_ms));
        if (w->quarantined_until_ms > now_ms) {
            state.rooms.mark(id);
        }
    }
}

bool eligible(const worker_room& room, const placement_request& request) {
    if (!room.open || room.host->report.pool != request.owner->spec.terms.pool) {
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

bool may_fit(const room_index& rooms, search_scope among, const resources& need, std::size_t count,
             room_kind kind) {
    if (among == all_racks) {
        return kind == room_kind::soon ||
               need.accelerators * static_cast<std::int64_t>(count) <= rooms.free_accelerators();
    }
    const std::int64_t there =
        kind == room_kind::free ? among->free_accelerators : among->soon_accelerators;
    return need.accelerators * static_cast<std::int64_t>(count) <= there;
}

std::vector<room_number> best_fit(room_index& rooms, search_scope among, placement_request& request,
                                  std::size_t count, room_kind kind) {
    const resources need = booked(*request.spec);
    std::vector<room_number> chosen;
    while (chosen.size() < count) {
        const auto best = find_best(rooms, among, request, need, kind);
        if (!best) {
            break;
        }
        book(rooms, request, *best);
        chosen.push_back(*best);
    }
    return chosen;
}

room_change book(room_index& rooms, placement_request& request, room_number room) {
    const resources taken = -booked(*request.spec);
    const room_change change{room, taken, taken};
    rooms.adjust(change);
    if (limits_tasks_per_worker(request)) {
        ++request.already_there[rooms.at(room).id];
    }
    return change;
}

void unbook(room_index& rooms, placement_request& request, std::span<const room_number> chosen) {
    const resources taken = -booked(*request.spec);
    for (const room_number room : chosen) {
        rooms.revert({room, taken, taken});
        if (limits_tasks_per_worker(request)) {
            --request.already_there[rooms.at(room).id];
        }
    }
}

} // namespace fulmarworks::scheduler
