#include "scheduler/capacity_index.h"

#include <algorithm>
#include <utility>

namespace fulmarworks::scheduler {

namespace {

/** What a room adds to a sum; an overbooked one takes nothing away from the others. */
std::int64_t share_of(const resources& room) {
    return std::max<std::int64_t>(0, room.accelerators);
}

} // namespace

std::set<std::string> capacity_index::take_marked() {
    return std::exchange(marked_, {});
}

void capacity_index::set(worker_capacity measured) {
    const auto [known, added] = numbers_.try_emplace(measured.id, rooms_.size());
    if (added && !unused_.empty()) {
        known->second = unused_.back();
        unused_.pop_back();
    } else if (added) {
        rooms_.emplace_back();
        places_.emplace_back();
    }
    const worker_index number = known->second;
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

void capacity_index::remove(const std::string& worker) {
    const auto known = numbers_.find(worker);
    if (known == numbers_.end()) {
        return;
    }
    const worker_index number = known->second;
    withdraw(number);
    leave_rack(number);
    rooms_[number] = {};
    unused_.push_back(number);
    numbers_.erase(known);
}

void capacity_index::adjust(const capacity_change& change) {
    withdraw(change.index);
    rooms_[change.index].free += change.free;
    rooms_[change.index].free_after_stops += change.free_after_stops;
    enter(change.index);
    mark(rooms_[change.index].id);
}

void capacity_index::revert(const capacity_change& change) {
    withdraw(change.index);
    rooms_[change.index].free -= change.free;
    rooms_[change.index].free_after_stops -= change.free_after_stops;
    enter(change.index);
}

const worker_index* capacity_index::find(const std::string& worker) const {
    const auto known = numbers_.find(worker);
    return known == numbers_.end() ? nullptr : &known->second;
}

const std::set<capacity_index::search_key>&
capacity_index::accepting_workers(const std::string& pool) const {
    static const std::set<search_key> none;
    const auto found = accepting_.find(pool);
    return found == accepting_.end() ? none : found->second;
}

const rack_capacity* capacity_index::rack(const std::string& name) const {
    const auto found = racks_.find(name);
    return found == racks_.end() ? nullptr : &found->second;
}

void capacity_index::join_rack(worker_index index) {
    const auto [rack, added] = racks_.try_emplace(places_[index].rack);
    if (added) {
        racks_by_free_.emplace(rack_key(0, rack->first), &rack->second);
    }
    rack->second.workers.push_back(index);
}

void capacity_index::leave_rack(worker_index index) {
    const auto rack = racks_.find(places_[index].rack);
    std::erase(rack->second.workers, index);
    if (rack->second.workers.empty()) {
        racks_by_free_.erase({rack->second.free_accelerators, rack->first});
        racks_.erase(rack);
    }
}

void capacity_index::enter(worker_index index) {
    const worker_capacity& r = rooms_[index];
    if (!r.accepts_tasks) {
        return;
    }
    accepting_[places_[index].pool].emplace(r.free.accelerators, r.free.memory_mb, index);
    if (r.free != r.free_after_stops) {
        with_stops_.insert(index);
    }
    const auto rack = racks_.find(places_[index].rack);
    racks_by_free_.erase({rack->second.free_accelerators, rack->first});
    rack->second.free_accelerators += share_of(r.free);
    rack->second.free_accelerators_after_stops += share_of(r.free_after_stops);
    rack->second.all_accelerators += places_[index].accelerators;
    racks_by_free_.emplace(rack_key(rack->second.free_accelerators, rack->first), &rack->second);
    free_accelerators_ += share_of(r.free);
    all_accelerators_ += places_[index].accelerators;
}

void capacity_index::withdraw(worker_index index) {
    const worker_capacity& r = rooms_[index];
    if (!r.accepts_tasks) {
        return;
    }
    accepting_[places_[index].pool].erase({r.free.accelerators, r.free.memory_mb, index});
    with_stops_.erase(index);
    const auto rack = racks_.find(places_[index].rack);
    racks_by_free_.erase({rack->second.free_accelerators, rack->first});
    rack->second.free_accelerators -= share_of(r.free);
    rack->second.free_accelerators_after_stops -= share_of(r.free_after_stops);
    rack->second.all_accelerators -= places_[index].accelerators;
    racks_by_free_.emplace(rack_key(rack->second.free_accelerators, rack->first), &rack->second);
    free_accelerators_ -= share_of(r.free);
    all_accelerators_ -= places_[index].accelerators;
}

} // namespace fulmarworks::scheduler
