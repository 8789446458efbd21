#include "scheduler/capacity_index.h"

#include <algorithm>
#include <utility>

namespace fulmarworks::scheduler {

namespace {

/**
 * Returns the accelerators that count in a sum. Overbooked workers count as 0, so that they don't
 * reduce the total.
 */
std::int64_t summable_accelerators(const resources& available) {
    return std::max<std::int64_t>(0, available.accelerators);
}

} // namespace

std::set<std::string> capacity_index::take_stale_workers() {
    return std::exchange(stale_workers_, {});
}

void capacity_index::set(worker_capacity measured) {
    const auto [known, added] = index_by_worker_.try_emplace(measured.id, capacities_.size());
    if (added && !unused_indices_.empty()) {
        known->second = unused_indices_.back();
        unused_indices_.pop_back();
    } else if (added) {
        capacities_.emplace_back();
        locations_.emplace_back();
    }
    const worker_index index = known->second;
    if (!added) {
        remove_from_index(index);
    }
    const worker_report& report = measured.host->report;
    const bool moved = added || locations_[index].rack != report.rack;
    if (moved && !added) {
        remove_from_rack(index);
    }
    locations_[index] = {report.pool, report.rack, report.capacity.accelerators};
    capacities_[index] = std::move(measured);
    if (moved) {
        add_to_rack(index);
    }
    add_to_index(index);
}

void capacity_index::remove(const std::string& worker) {
    const auto known = index_by_worker_.find(worker);
    if (known == index_by_worker_.end()) {
        return;
    }
    const worker_index index = known->second;
    remove_from_index(index);
    remove_from_rack(index);
    capacities_[index] = {};
    unused_indices_.push_back(index);
    index_by_worker_.erase(known);
}

void capacity_index::adjust(const capacity_change& change) {
    remove_from_index(change.index);
    capacities_[change.index].free += change.free;
    capacities_[change.index].free_after_stops += change.free_after_stops;
    capacities_[change.index].free_after_ends += change.free_after_ends;
    add_to_index(change.index);
    mark_stale(capacities_[change.index].id);
}

void capacity_index::note_start(worker_index index, const job* suspect) {
    worker_capacity& capacity = capacities_[index];
    capacity.in_use = true;
    capacity.has_unproven_run = true;
    capacity.suspect = suspect != nullptr ? suspect : capacity.suspect;
    mark_stale(capacity.id);
}

void capacity_index::revert(const capacity_change& change) {
    remove_from_index(change.index);
    capacities_[change.index].free -= change.free;
    capacities_[change.index].free_after_stops -= change.free_after_stops;
    capacities_[change.index].free_after_ends -= change.free_after_ends;
    add_to_index(change.index);
}

const worker_index* capacity_index::find(const std::string& worker) const {
    const auto known = index_by_worker_.find(worker);
    return known == index_by_worker_.end() ? nullptr : &known->second;
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

void capacity_index::add_to_rack(worker_index index) {
    const auto [rack, added] = racks_.try_emplace(locations_[index].rack);
    if (added) {
        racks_by_free_.emplace(rack_key(0, rack->first), &rack->second);
    }
    rack->second.workers.push_back(index);
}

void capacity_index::remove_from_rack(worker_index index) {
    const auto rack = racks_.find(locations_[index].rack);
    std::erase(rack->second.workers, index);
    if (rack->second.workers.empty()) {
        racks_by_free_.erase({rack->second.free_accelerators, rack->first});
        racks_.erase(rack);
    }
}

void capacity_index::add_to_index(worker_index index) {
    const worker_capacity& capacity = capacities_[index];
    if (!capacity.accepts_tasks) {
        return;
    }
    accepting_[locations_[index].pool].emplace(capacity.free.accelerators, capacity.free.memory_mb,
                                               index);
    if (capacity.free != capacity.free_after_ends) {
        workers_with_ending_runs_.insert(index);
    }
    const auto rack = racks_.find(locations_[index].rack);
    racks_by_free_.erase({rack->second.free_accelerators, rack->first});
    rack->second.free_accelerators += summable_accelerators(capacity.free);
    rack->second.free_accelerators_after_stops += summable_accelerators(capacity.free_after_stops);
    rack->second.free_accelerators_after_ends += summable_accelerators(capacity.free_after_ends);
    rack->second.all_accelerators += locations_[index].accelerators;
    racks_by_free_.emplace(rack_key(rack->second.free_accelerators, rack->first), &rack->second);
    free_accelerators_ += summable_accelerators(capacity.free);
    all_accelerators_ += locations_[index].accelerators;
}

void capacity_index::remove_from_index(worker_index index) {
    const worker_capacity& capacity = capacities_[index];
    if (!capacity.accepts_tasks) {
        return;
    }
    accepting_[locations_[index].pool].erase(
        {capacity.free.accelerators, capacity.free.memory_mb, index});
    workers_with_ending_runs_.erase(index);
    const auto rack = racks_.find(locations_[index].rack);
    racks_by_free_.erase({rack->second.free_accelerators, rack->first});
    rack->second.free_accelerators -= summable_accelerators(capacity.free);
    rack->second.free_accelerators_after_stops -= summable_accelerators(capacity.free_after_stops);
    rack->second.free_accelerators_after_ends -= summable_accelerators(capacity.free_after_ends);
    rack->second.all_accelerators -= locations_[index].accelerators;
    racks_by_free_.emplace(rack_key(rack->second.free_accelerators, rack->first), &rack->second);
    free_accelerators_ -= summable_accelerators(capacity.free);
    all_accelerators_ -= locations_[index].accelerators;
}

} // namespace fulmarworks::scheduler
