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

/** Position of a worker in the index. Positions of removed workers are reused. */
using worker_index = std::size_t;

/** Capacity of one worker. */
struct worker_capacity {
    /** Worker id. */
    std::string id;
    /** Null while the position is unused. */
    const worker* host = nullptr;
    /** Resources that no run has booked. */
    resources free;
    /** `free` plus the resources of runs that are being stopped. */
    resources free_after_stops;
    /** `free_after_stops` plus the resources of runs that are expected to end soon. */
    resources free_after_ends;
    /** Whether new tasks may be placed on the worker. */
    bool accepts_tasks = false;
    /** Whether any run is assigned to the worker or still active there. */
    bool in_use = false;
    /** Whether some run has not lasted for the probation time yet. */
    bool has_unproven_run = false;
    /** Job under suspicion of crashing workers that has an unproven run here; null if there is
     * none. No other job's tasks start beside it. Only compared, as the job may be gone. */
    const job* suspect = nullptr;
};

/**
 * Workers of one rack, with sums over those that accept tasks. The sums end a search early if the
 * rack is too full.
 */
struct rack_capacity {
    std::vector<worker_index> workers;
    std::int64_t free_accelerators = 0;
    std::int64_t free_accelerators_after_stops = 0;
    std::int64_t free_accelerators_after_ends = 0;
    std::int64_t all_accelerators = 0;
};

/** Change of a worker's capacity while a plan is being made. */
struct capacity_change {
    worker_index index = 0;
    resources free;
    resources free_after_stops;
    resources free_after_ends;
};

/**
 * Capacities of all workers, ordered for best-fit searches.
 *
 * A placement takes a few tree lookups instead of a scan of all workers. The index does not observe
 * workers: a caller that changes anything that affects a worker's capacity calls `mark_stale`, and
 * the next plan recomputes only the stale capacities. Not thread safe.
 */
class capacity_index {
public:
    /** Free accelerators, free memory and worker: the order of a best-fit search. */
    using search_key = std::tuple<std::int64_t, std::int64_t, worker_index>;

    /** Marks the capacity of a worker as stale, also if the worker is new or was removed. */
    void mark_stale(const std::string& worker) { stale_workers_.insert(worker); }

    /** Returns the stale workers and clears the set. */
    [[nodiscard]] std::set<std::string> take_stale_workers();

    /**
     * Inserts or replaces the capacity of a worker. Precondition: `measured.host` stays valid until
     * the worker is removed.
     */
    void set(worker_capacity measured);
    void remove(const std::string& worker);

    /**
     * Applies a change that a plan proposes and marks the worker as stale, so that its capacity is
     * recomputed.
     */
    void adjust(const capacity_change& change);
    /** Records that a plan starts a task on the worker; `suspect` is its job if it is suspect. */
    void note_start(worker_index index, const job* suspect);
    /** Reverts a change that `adjust` applied. */
    void revert(const capacity_change& change);

    [[nodiscard]] const worker_capacity& at(worker_index index) const { return capacities_[index]; }
    /** Returns the position of a worker; null if the index does not contain it. */
    [[nodiscard]] const worker_index* find(const std::string& worker) const;
    /** Returns the capacities at all positions; `host` is null at unused ones. */
    [[nodiscard]] std::span<const worker_capacity> all() const { return capacities_; }

    /** Returns the workers of a pool that accept tasks, in the order of a best-fit search. */
    [[nodiscard]] const std::set<search_key>& accepting_workers(const std::string& pool) const;
    /**
     * Returns the workers that accept tasks and have runs that are being stopped or are expected to
     * end soon.
     */
    [[nodiscard]] const std::set<worker_index>& workers_with_ending_runs() const {
        return workers_with_ending_runs_;
    }

    /** Returns the rack with this name; null if no worker is there. */
    [[nodiscard]] const rack_capacity* rack(const std::string& name) const;
    /** Free accelerators and name of a rack. */
    using rack_key = std::pair<std::int64_t, std::string_view>;

    /** Returns all racks by ascending number of free accelerators. */
    [[nodiscard]] const std::map<rack_key, const rack_capacity*>& racks() const {
        return racks_by_free_;
    }

    /** Accelerators of all workers that accept tasks. */
    [[nodiscard]] std::int64_t free_accelerators() const { return free_accelerators_; }
    [[nodiscard]] std::int64_t all_accelerators() const { return all_accelerators_; }

private:
    /** Pool, rack and accelerators of a worker as reported when its capacity was set. */
    struct indexed_location {
        std::string pool;
        std::string rack;
        std::int64_t accelerators = 0;
    };

    void add_to_rack(worker_index index);
    void remove_from_rack(worker_index index);
    /** Adds the worker to, or removes it from, all ordered sets and sums. */
    void add_to_index(worker_index index);
    void remove_from_index(worker_index index);

    std::vector<worker_capacity> capacities_;
    std::vector<indexed_location> locations_;
    std::vector<worker_index> unused_indices_;
    std::unordered_map<std::string, worker_index> index_by_worker_;
    std::map<std::string, std::set<search_key>> accepting_;
    std::set<worker_index> workers_with_ending_runs_;
    std::map<std::string, rack_capacity> racks_;
    std::map<rack_key, const rack_capacity*> racks_by_free_;
    std::set<std::string> stale_workers_;
    std::int64_t free_accelerators_ = 0;
    std::int64_t all_accelerators_ = 0;
};

} // namespace fulmarworks::scheduler
