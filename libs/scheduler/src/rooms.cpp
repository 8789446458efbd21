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

bool better(const resources& left, const resources& best) {
    if (left.accelerators != best.accelerators) {
        return left.accelerators < best.accelerators;
    }
    return left.memory_mb < best.memory_mb;
}

} // namespace

std::vector<worker_room> measure_rooms(coordinator_state& state, time_ms now_ms) {
    std::vector<worker_room> rooms;
    rooms.reserve(state.workers.size());
    for (const auto& [id, w] : state.workers) {
        worker_room room{&w, w.report.capacity, {}, accepts_work(w, now_ms)};
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
        rooms.push_back(room);
    }
    return rooms;
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
    const std::string& id = room.host->report.life.id;
    if (request.avoid.contains(id)) {
        return false;
    }
    if (request.spec->max_tasks_per_worker == 0) {
        return true;
    }
    const auto there = request.already_there.find(id);
    return there == request.already_there.end() ||
           there->second < request.spec->max_tasks_per_worker;
}

std::vector<rack_rooms> group_by_rack(std::span<const worker_room> rooms) {
    std::map<std::string, rack_rooms> racks;
    rack_rooms all;
    for (std::size_t i = 0; i < rooms.size(); ++i) {
        const std::string& name = rooms[i].host->report.rack;
        racks[name].name = name;
        racks[name].rooms.push_back(i);
        all.rooms.push_back(i);
    }
    std::vector<rack_rooms> groups;
    for (auto& [name, rack] : racks) {
        groups.push_back(std::move(rack));
    }
    groups.push_back(std::move(all));
    return groups;
}

bool may_fit(std::span<const worker_room> rooms, const rack_rooms& among, const resources& need,
             std::size_t count, room_kind kind) {
    std::size_t tasks = 0;
    for (const std::size_t i : among.rooms) {
        const resources& room = room_of(rooms[i], kind);
        if (rooms[i].open && fits(need, room)) {
            tasks += need.accelerators == 0
                         ? count
                         : static_cast<std::size_t>(room.accelerators / need.accelerators);
        }
        if (tasks >= count) {
            return true;
        }
    }
    return false;
}

std::vector<std::size_t> best_fit(std::span<worker_room> rooms, const rack_rooms& among,
                                  placement_request& request, std::size_t count, room_kind kind) {
    const resources need = booked(*request.spec);
    std::vector<std::size_t> chosen;
    while (chosen.size() < count) {
        std::size_t best = rooms.size();
        resources best_left;
        for (const std::size_t i : among.rooms) {
            const resources& room = room_of(rooms[i], kind);
            if (!fits(need, room)) {
                continue;
            }
            resources left = room;
            left -= need;
            if ((best == rooms.size() || better(left, best_left)) && eligible(rooms[i], request)) {
                best = i;
                best_left = left;
            }
        }
        if (best == rooms.size()) {
            break;
        }
        rooms[best].free -= need;
        rooms[best].soon -= need;
        ++request.already_there[rooms[best].host->report.life.id];
        chosen.push_back(best);
    }
    return chosen;
}

void unbook(std::span<worker_room> rooms, placement_request& request,
            std::span<const std::size_t> chosen) {
    const resources need = booked(*request.spec);
    for (const std::size_t i : chosen) {
        rooms[i].free += need;
        rooms[i].soon += need;
        --request.already_there[rooms[i].host->report.life.id];
    }
}

} // namespace fulmarworks::scheduler
