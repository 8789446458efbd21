#pragma once

#include "scheduler/coordinator.h"

#include <optional>
#include <span>

namespace fulmarworks::scheduler {

/** Computes the capacity of a worker from its assignments and orphaned runs. */
[[nodiscard]] worker_capacity compute_capacity(coordinator_state& state, const worker& w,
                                               time_ms now_ms);

/** Recomputes stale capacities. Quarantined workers stay stale until the quarantine ends. */
void refresh_capacities(coordinator_state& state, time_ms now_ms);

/** How strictly the runs of a group are kept apart from those of other jobs. */
enum class isolation {
    none,
    from_unproven_runs, // on workers on which every other run has lasted for the probation time
    exclusive,          // on idle workers
};

/** Requirements of a group of identical tasks on the workers that run them. */
struct task_group_request {
    const job* owner = nullptr;
    const step_spec* spec = nullptr;
    /** Number of the step's tasks on each worker, by worker id; used for `max_tasks_per_worker`. */
    std::map<std::string, std::uint32_t> tasks_by_worker;
    /** Workers on which a task of the step failed. */
    std::set<std::string> excluded_workers;
    isolation required_isolation = isolation::none;
    /** Racks that are kept free for other tasks, except for tasks whose data is there; may be null.
     */
    const std::set<std::string_view>* avoided_racks = nullptr;
};

/** Returns whether the step has a limit for its tasks on one worker. */
[[nodiscard]] inline bool limits_tasks_per_worker(const task_group_request& request) {
    return request.spec->max_tasks_per_worker != 0;
}

/** Returns whether the worker may run tasks of the request, regardless of its free capacity. */
[[nodiscard]] bool eligible(const worker_capacity& capacity, const task_group_request& request);

enum class capacity_kind { free, free_after_stops, free_after_ends };

/** Returns the capacity of a worker of one kind. */
[[nodiscard]] const resources& available_in(const worker_capacity& capacity, capacity_kind kind);

/** Workers to search: one rack, or all workers of the pool if null. */
using search_scope = const rack_capacity*;
inline constexpr search_scope all_racks = nullptr;

/**
 * Maximum number of racks that are compared for one gang: more than current deployments have, and
 * few enough for a decision within a millisecond at the target size.
 */
inline constexpr std::size_t max_racks_compared = 50;

/** Returns whether `count` tasks may fit, judging by accelerators alone. */
[[nodiscard]] bool may_fit(const capacity_index& capacities, search_scope scope,
                           const resources& need, std::size_t count, capacity_kind kind);

/**
 * Books a worker for each of up to `count` tasks by best fit on accelerators, then memory. Returns
 * fewer than `count` workers if the capacity is insufficient.
 */
[[nodiscard]] std::vector<worker_index> book_best_fit(capacity_index& capacities,
                                                      search_scope scope,
                                                      task_group_request& request,
                                                      std::size_t count, capacity_kind kind);

/** Books one task of the request on a worker. Returns the change. */
capacity_change book(capacity_index& capacities, task_group_request& request, worker_index index);

/** Reverts the bookings of `book_best_fit`. */
void unbook(capacity_index& capacities, task_group_request& request,
            std::span<const worker_index> chosen);

} // namespace fulmarworks::scheduler
