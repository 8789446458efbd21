#pragma once

#include "scheduler/worker.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace fulmarworks::scheduler {

/** Number of a room in the index; numbers of removed rooms are given out again. */
using worker_index = std::size_t;

/** What one worker has left for tasks. */
struct worker_capacity {
    /** Id of the worker. */
    std::string id;
    /** Null while the number is unused. */
    const worker* host = nullptr;
    /** Not booked by anything. */
    resources free;
    /** `free` and what is being stopped. */
    resources free_after_stops;
    /** New tasks may be placed here. */
    bool accepts_tasks = false;
};

/** Rooms of one rack, with sums over the open ones that let hopeless searches end early. */
struct rack_capacity {
    std::vector<worker_index> workers;
    std::int64_t free_accelerators = 0;
    std::int64_t free_accelerators_after_stops = 0;
    std::int64_t all_accelerators = 0;
};

/** A change of one room, as far as a plan books it. */
struct capacity_change {
    worker_index index = 0;
    resources free;
    resources free_after_stops;
};

/**
 * The rooms of all workers, ordered for best-fit searches.
 *
 * A decision costs a few steps of a tree instead of a pass over all workers. The index doesn't
 * watch the workers: whoever changes something that a room follows from calls `mark_stale`, and the
 * next plan measures just the marked rooms again. Not thread safe.
 */
class capacity_index {
public:
    /** Free accelerators, free memory, room: the order in which a best fit is searched. */
    using search_key = std::tuple<std::int64_t, std::int64_t, worker_index>;

    /** Notes that the room of a worker may have changed, that it is new or that it is gone. */
    void mark_stale(const std::string& worker) { stale_workers_.insert(worker); }

    /** Returns the marked workers and forgets the marks. */
    [[nodiscard]] std::set<std::string> take_stale_workers();

    /** Takes over a room as measured. Precondition: `measured.host` stays where it is until the
     * room is removed. */
    void set(worker_capacity measured);
    void remove(const std::string& worker);

    /** Books a change that a plan proposes; the room is marked, so that it is measured again. */
    void adjust(const capacity_change& change);
    /** Takes an adjustment back. */
    void revert(const capacity_change& change);

    [[nodiscard]] const worker_capacity& at(worker_index index) const { return capacities_[index]; }
    /** Returns the room of a worker; null if it has none. */
    [[nodiscard]] const worker_index* find(const std::string& worker) const;
    /** Returns all rooms; unused ones have no host. */
    [[nodiscard]] std::span<const worker_capacity> all() const { return capacities_; }

    /** Returns the open rooms of a pool. */
    [[nodiscard]] const std::set<search_key>& accepting_workers(const std::string& pool) const;
    /** Returns the rooms in which something is being stopped. */
    [[nodiscard]] const std::set<worker_index>& workers_with_stops() const {
        return workers_with_stops_;
    }

    /** Returns the rack of a name; null without any worker there. */
    [[nodiscard]] const rack_capacity* rack(const std::string& name) const;
    /** Free accelerators and name of a rack. */
    using rack_key = std::pair<std::int64_t, std::string_view>;

    /** Returns all racks, the fullest first. */
    [[nodiscard]] const std::map<rack_key, const rack_capacity*>& racks() const {
        return racks_by_free_;
    }

    /** Accelerators of all open rooms. */
    [[nodiscard]] std::int64_t free_accelerators() const { return free_accelerators_; }
    [[nodiscard]] std::int64_t all_accelerators() const { return all_accelerators_; }

private:
    /** The worker's report as of the time when its room was entered. */
    struct indexed_location {
        std::string pool;
        std::string rack;
        std::int64_t accelerators = 0;
    };

    void add_to_rack(worker_index index);
    void remove_from_rack(worker_index index);
    /** Adds the room to, or takes it out of, everything that is ordered or summed by its values. */
    void add_to_index(worker_index index);
    void remove_from_index(worker_index index);

    std::vector<worker_capacity> capacities_;
    std::vector<indexed_location> locations_;
    std::vector<worker_index> unused_indices_;
    std::unordered_map<std::string, worker_index> index_by_worker_;
    std::map<std::string, std::set<search_key>> accepting_;
    std::set<worker_index> workers_with_stops_;
    std::map<std::string, rack_capacity> racks_;
    std::map<rack_key, const rack_capacity*> racks_by_free_;
    std::set<std::string> stale_workers_;
    std::int64_t free_accelerators_ = 0;
    std::int64_t all_accelerators_ = 0;
};

} // namespace fulmarworks::scheduler
