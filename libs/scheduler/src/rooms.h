#pragma once

#include "scheduler/coordinator.h"

#include <optional>
#include <span>

namespace fulmarworks::scheduler {

/** Returns the room of a worker, worked out from all that is assigned to it. */
[[nodiscard]] worker_room measure_room(coordinator_state& state, const worker& w, time_ms now_ms);

/** Measures the marked rooms again, and those whose worker is set aside only for a while. */
void refresh_rooms(coordinator_state& state, time_ms now_ms);

/** What a set of equal tasks asks of the workers that run them. */
struct placement_request {
    const job* owner = nullptr;
    const step_spec* spec = nullptr;
    /** Tasks of the step that each worker has already, by worker id; used for
     * `max_tasks_per_worker`.
     */
    std::map<std::string, std::uint32_t> already_there;
    /** Workers to avoid because a task of the step failed on them. */
    std::set<std::string> avoid;
};

/** Returns whether `already_there` counts. */
[[nodiscard]] inline bool limits_tasks_per_worker(const placement_request& request) {
    return request.spec->max_tasks_per_worker != 0;
}

/** Returns whether the worker may run tasks of the request, whatever its room is. */
[[nodiscard]] bool eligible(const worker_room& room, const placement_request& request);

enum class room_kind { free, soon };

/** Workers to search: one rack, or all racks if none is named. */
using search_scope = const rack_rooms*;
inline constexpr search_scope all_racks = nullptr;

/** Returns whether a group of `count` tasks could fit by its accelerators alone. */
[[nodiscard]] bool may_fit(const room_index& rooms, search_scope among, const resources& need,
                           std::size_t count, room_kind kind);

/**
 * Chooses a worker for each of up to `count` tasks by best fit on accelerators, then memory, and
 * books it. Returns fewer than `count` rooms where room runs out.
 */
[[nodiscard]] std::vector<room_number> best_fit(room_index& rooms, search_scope among,
                                                placement_request& request, std::size_t count,
                                                room_kind kind);

/** Books a task of the request in a room. Returns the change. */
room_change book(room_index& rooms, placement_request& request, room_number room);

/** Takes back what `best_fit` booked. */
void unbook(room_index& rooms, placement_request& request, std::span<const room_number> chosen);

} // namespace fulmarworks::scheduler
