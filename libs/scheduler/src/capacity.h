#pragma once

#include "scheduler/coordinator.h"

#include <optional>
#include <span>

namespace fulmarworks::scheduler {

/** Returns the room of a worker, worked out from all that is assigned to it. */
[[nodiscard]] worker_capacity compute_capacity(coordinator_state& state, const worker& w,
                                               time_ms now_ms);

/** Measures the marked rooms again, and those whose worker is set aside only for a while. */
void refresh_capacities(coordinator_state& state, time_ms now_ms);

/** What a set of equal tasks asks of the workers that run them. */
struct task_group_request {
    const job* owner = nullptr;
    const step_spec* spec = nullptr;
    /** Tasks of the step that each worker has already, by worker id; used for
     * `max_tasks_per_worker`.
     */
    std::map<std::string, std::uint32_t> tasks_by_worker;
    /** Workers to avoid because a task of the step failed on them. */
    std::set<std::string> excluded_workers;
};

/** Returns whether `tasks_by_worker` counts. */
[[nodiscard]] inline bool limits_tasks_per_worker(const task_group_request& request) {
    return request.spec->max_tasks_per_worker != 0;
}

/** Returns whether the worker may run tasks of the request, whatever its room is. */
[[nodiscard]] bool eligible(const worker_capacity& capacity, const task_group_request& request);

enum class capacity_kind { free, free_after_stops };

/** Workers to search: one rack, or all racks if none is named. */
using search_scope = const rack_capacity*;
inline constexpr search_scope all_racks = nullptr;

/** Returns whether a group of `count` tasks could fit by its accelerators alone. */
[[nodiscard]] bool may_fit(const capacity_index& capacities, search_scope scope,
                           const resources& need, std::size_t count, capacity_kind kind);

/**
 * Chooses a worker for each of up to `count` tasks by best fit on accelerators, then memory, and
 * books it. Returns fewer than `count` rooms where room runs out.
 */
[[nodiscard]] std::vector<worker_index> book_best_fit(capacity_index& capacities,
                                                      search_scope scope,
                                                      task_group_request& request,
                                                      std::size_t count, capacity_kind kind);

/** Books a task of the request in a room. Returns the change. */
capacity_change book(capacity_index& capacities, task_group_request& request, worker_index index);

/** Takes back what `book_best_fit` booked. */
void unbook(capacity_index& capacities, task_group_request& request,
            std::span<const worker_index> chosen);

} // namespace fulmarworks::scheduler
