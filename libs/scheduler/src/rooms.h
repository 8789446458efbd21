#pragma once

#include "scheduler/coordinator.h"

#include <span>

namespace fulmarworks::scheduler {

/** Room of one worker while a plan is made. */
struct worker_room {
    const worker* host = nullptr;
    /** Not booked by anything. */
    resources free;
    /** `free` and what is being stopped. */
    resources soon;
    /** New tasks may be placed here. */
    bool open = false;
};

/** Workers of one rack, as indices, with bounds that let hopeless searches end early. */
struct rack_rooms {
    std::string name;
    std::vector<std::size_t> rooms;
};

/** Returns the room of every worker, in the order of their ids. */
[[nodiscard]] std::vector<worker_room> measure_rooms(coordinator_state& state, time_ms now_ms);

/** Groups rooms by rack; the last group, without a name, holds all of them. */
[[nodiscard]] std::vector<rack_rooms> group_by_rack(std::span<const worker_room> rooms);

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

/** Returns whether the worker may run tasks of the request, whatever its room is. */
[[nodiscard]] bool eligible(const worker_room& room, const placement_request& request);

enum class room_kind { free, soon };

/** Returns whether the group has enough accelerators for `count` tasks, in one quick pass. */
[[nodiscard]] bool may_fit(std::span<const worker_room> rooms, const rack_rooms& among,
                           const resources& need, std::size_t count, room_kind kind);

/**
 * Chooses a worker of the group for each of up to `count` tasks by best fit on accelerators, then
 * memory, and books it in `rooms`. Returns indices into `rooms`; fewer than `count` where room runs
 * out.
 */
[[nodiscard]] std::vector<std::size_t> best_fit(std::span<worker_room> rooms,
                                                const rack_rooms& among, placement_request& request,
                                                std::size_t count, room_kind kind);

/** Takes back what `best_fit` booked. */
void unbook(std::span<worker_room> rooms, placement_request& request,
            std::span<const std::size_t> chosen);

} // namespace fulmarworks::scheduler
