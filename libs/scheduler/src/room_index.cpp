#include "scheduler/room_index.h"

#include <algorithm>
#include <utility>

namespace fulmarworks::scheduler {

namespace {

/** What a room adds to a sum; an overbooked one takes nothing away from the others. */
std::int64_t share_of(const resources& room) {
    return std::max<std::int64_t>(0, room.accelerators);
}

} // namespace

std::set<std::string> room_index::take_marked() {
    return std::exchange(marked_, {});
}

void room_index::set(worker_room measured) {
    const auto [known, added] = numbers_.try_emplace(measured.id, rooms_.size());
    if (added && !unused_.empty()) {
        known->second = unused_.back();
        unused_.pop_back();
    } else if (added) {
        rooms_.emplace_back();
        places_.emplace_back();
    }
    const room_number number = known->second;
    if (!added) {
        withdraw(number);
    }
    const worker_report& report = measured.host->report;
    const bool moved = added || places_[number].rack != report.rack;
    if (moved && !added) {
        leave_rack(number);
    }
    places_[number] = {report.pool, report.rack, report.capacity.accelerators};
    rooms_[number] = std::move(measured);
    if (moved) {
        join_rack(number);
    }
    enter(number);
}

void room_index::remove(const std::string& worker) {
    const auto known = numbers_.find(worker);
    if (known == numbers_.end()) {
        return;
    }
    const room_number number = known->second;
    withdraw(number);
    leave_rack(number);
    rooms_[number] = {};
    unused_.push_back(number);
    numbers_.erase(known);
}

void room_index::adjust(const room_change& change) {
    withdraw(change.room);
    rooms_[change.room].free += change.free;
    rooms_[change.room].soon += change.soon;
    enter(change.room);
    mark(rooms_[change.room].id);
}

void room_index::revert(const room_change& change) {
    withdraw(change.room);
    rooms_[change.room].free -= change.free;
    rooms_[change.room].soon -= change.soon;
    enter(change.room);
}

const room_number* room_index::find(const std::string& worker) const {
    const auto known = numbers_.find(worker);
    return known == numbers_.end() ? nullptr : &known->second;
}

const std::set<room_index::search_key>& room_index::open_in(const std::string& pool) const {
    static const std::set<search_key> none;
    const auto found = open_.find(pool);
    return found == open_.end() ? none : found->second;
}

const rack_rooms* room_index::rack(const std::string& name) const {
    const auto found = racks_.find(name);
    return found == racks_.end() ? nullptr : &found->second;
}

void room_index::join_rack(room_number room) {
    const auto [rack, added] = racks_.try_emplace(places_[room].rack);
    if (added) {
        racks_by_free_.emplace(rack_key(0, rack->first), &rack->second);
    }
    rack->second.rooms.push_back(room);
}

void room_index::leave_rack(room_number room) {
    const auto rack = racks_.find(places_[room].rack);
    std::erase(rack->second.rooms, room);
    if (rack->second.rooms.empty()) {
        racks_by_free_.erase({rack->second.free_accelerators, rack->first});
        racks_.erase(rack);
    }
}

void room_index::enter(room_number room) {
    const worker_room& r = rooms_[room];
    if (!r.open) {
        return;
    }
    open_[places_[room].pool].emplace(r.free.accelerators, r.free.memory_mb, room);
    if (r.free != r.soon) {
        with_stops_.insert(room);
    }
    const auto rack = racks_.find(places_[room].rack);
    racks_by_free_.erase({rack->second.free_accelerators, rack->first});
    rack->second.free_accelerators += share_of(r.free);
    rack->second.soon_accelerators += share_of(r.soon);
    rack->second.all_accelerators += places_[room].accelerators;
    racks_by_free_.emplace(rack_key(rack->second.free_accelerators, rack->first), &rack->second);
    free_accelerators_ += share_of(r.free);
    all_accelerators_ += places_[room].accelerators;
}

void room_index::withdraw(room_number room) {
    const worker_room& r = rooms_[room];
    if (!r.open) {
        return;
    }
    open_[places_[room].pool].erase({r.free.accelerators, r.free.memory_mb, room});
    with_stops_.erase(room);
    const auto rack = racks_.find(places_[room].rack);
    racks_by_free_.erase({rack->second.free_accelerators, rack->first});
    rack->second.free_accelerators -= share_of(r.free);
    rack->second.soon_accelerators -= share_of(r.soon);
    rack->second.all_accelerators -= places_[room].accelerators;
    racks_by_free_.emplace(rack_key(rack->second.free_accelerators, rack->first), &rack->second);
    free_accelerators_ -= share_of(r.free);
    all_accelerators_ -= places_[room].accelerators;
}

} // namespace fulmarworks::scheduler
