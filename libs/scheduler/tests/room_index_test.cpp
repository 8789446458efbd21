#include "lookup.h"
#include "random_cluster.h"
#include "rooms.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr int steps_of_a_history = 400;

/** What the index must hold, worked out from all workers and all their tasks. */
std::vector<worker_room> measure_all(coordinator_state& state, time_ms now_ms) {
    std::vector<worker_room> rooms;
    for (const auto& [id, w] : state.workers) {
        rooms.push_back(measure_room(state, w, now_ms));
    }
    return rooms;
}

void check_rooms(const room_index& index, const std::vector<worker_room>& expected) {
    std::size_t used = 0;
    for (const auto& room : index.all()) {
        used += room.host != nullptr ? 1 : 0;
    }
    REQUIRE(used == expected.size());
    std::int64_t free = 0;
    for (const auto& room : expected) {
        const room_number* number = index.find(room.id);
        REQUIRE(number != nullptr);
        const worker_room& held = index.at(*number);
        INFO("worker " << room.id);
        REQUIRE(held.host == room.host);
        REQUIRE(held.open == room.open);
        REQUIRE(held.free == room.free);
        REQUIRE(held.soon == room.soon);
        free += room.open ? std::max<std::int64_t>(0, room.free.accelerators) : 0;
    }
    REQUIRE(index.free_accelerators() == free);
}

void check_racks(const room_index& index, const std::vector<worker_room>& expected) {
    std::map<std::string, std::pair<std::int64_t, std::size_t>> sums;
    for (const auto& room : expected) {
        auto& [free, count] = sums[room.host->report.rack];
        free += room.open ? std::max<std::int64_t>(0, room.free.accelerators) : 0;
        ++count;
    }
    REQUIRE(index.racks().size() == sums.size());
    for (const auto& [name, sum] : sums) {
        const rack_rooms* rack = index.rack(name);
        REQUIRE(rack != nullptr);
        REQUIRE(rack->free_accelerators == sum.first);
        REQUIRE(rack->rooms.size() == sum.second);
        REQUIRE(index.racks().contains({sum.first, name}));
    }
}

/** Returns the room that a full pass finds best; its accelerators and memory decide. */
std::optional<std::pair<std::int64_t, std::int64_t>>
best_by_full_pass(const std::vector<worker_room>& rooms, const placement_request& request,
                  room_kind kind) {
    std::optional<std::pair<std::int64_t, std::int64_t>> best;
    for (const auto& room : rooms) {
        const resources& there = kind == room_kind::free ? room.free : room.soon;
        const std::pair key(there.accelerators, there.memory_mb);
        if (fits(booked(*request.spec), there) && eligible(room, request) &&
            (!best || key < *best)) {
            best = key;
        }
    }
    return best;
}

void check_search(room_index& index, const std::vector<worker_room>& expected, const job& owner,
                  room_kind kind) {
    placement_request request{&owner, &owner.spec.steps[0], {}, {}};
    const auto best = best_by_full_pass(expected, request, kind);
    const auto chosen = best_fit(index, all_racks, request, 1, kind);
    REQUIRE(chosen.empty() == !best.has_value());
    if (best) {
        const worker_room& room = index.at(chosen[0]);
        resources before = kind == room_kind::free ? room.free : room.soon;
        before += booked(*request.spec);
        REQUIRE(std::pair(before.accelerators, before.memory_mb) == *best);
        unbook(index, request, chosen);
    }
}

void check_jobs(coordinator_state& state) {
    std::map<std::string, std::int64_t> demand;
    for (const auto& [id, j] : state.jobs) {
        if (j->ended()) {
            continue;
        }
        if (j->spec.terms.priority == 0) {
            demand[j->spec.account] += widest_step(j->spec);
        }
        bool idle = false;
        for_each_task(*j, [&](const task_id&, const task_place& place) {
            idle = idle || place.item->phase == task_phase::idle;
        });
        INFO("job " << id);
        REQUIRE((!idle || state.waiting_jobs.contains(id)));
    }
    for (const auto& [account, accelerators] : state.urgent_demand) {
        REQUIRE(demand[account] == accelerators);
    }
}

void check_history(unsigned seed) {
    INFO("seed " << seed);
    random_cluster cluster(seed);
    coordinator_state& state = cluster.fixture().state;
    for (int i = 0; i < steps_of_a_history; ++i) {
        cluster.step();
        const time_ms now = cluster.fixture().now.monotonic_ms;
        refresh_rooms(state, now);
        const auto expected = measure_all(state, now);
        check_rooms(state.rooms, expected);
        check_racks(state.rooms, expected);
        check_jobs(state);
        if (!state.jobs.empty()) {
            check_search(state.rooms, expected, *state.jobs.begin()->second, room_kind::free);
            check_search(state.rooms, expected, *state.jobs.rbegin()->second, room_kind::soon);
        }
    }
}

} // namespace

TEST_CASE("rooms and waiting work kept up by marks equal a full recomputation") {
    for (unsigned seed = 1; seed <= 30; ++seed) {
        check_history(seed);
    }
}

TEST_CASE("a history reaches all phases of a task") {
    std::set<task_phase> seen;
    for (unsigned seed = 1; seed <= 5; ++seed) {
        random_cluster cluster(seed);
        for (int i = 0; i < steps_of_a_history; ++i) {
            cluster.step();
            for (const auto& [id, j] : cluster.fixture().state.jobs) {
                for_each_task(*j, [&](const task_id&, const task_place& place) {
                    seen.insert(place.item->phase);
                });
            }
        }
    }
    // `placed` is passed within one event, and `unsettled` needs a change of the leader.
    for (const auto phase : {task_phase::idle, task_phase::ordered, task_phase::running,
                             task_phase::stopping, task_phase::complete}) {
        CHECK(seen.contains(phase));
    }
}
