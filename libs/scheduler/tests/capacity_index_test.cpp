#include "capacity.h"
#include "lookup.h"
#include "random_cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr int steps_per_history = 400;

/** Returns the expected contents of the index, computed from all workers and all their tasks. */
std::vector<worker_capacity> compute_capacities(coordinator_state& state, time_ms now_ms) {
    std::vector<worker_capacity> capacities;
    for (const auto& [id, w] : state.workers) {
        capacities.push_back(compute_capacity(state, w, now_ms));
    }
    return capacities;
}

void check_workers(const capacity_index& index, const std::vector<worker_capacity>& expected) {
    std::size_t indexed_workers = 0;
    for (const auto& capacity : index.all()) {
        indexed_workers += capacity.host != nullptr ? 1 : 0;
    }
    REQUIRE(indexed_workers == expected.size());
    std::int64_t free = 0;
    for (const auto& capacity : expected) {
        const worker_index* position = index.find(capacity.id);
        REQUIRE(position != nullptr);
        const worker_capacity& indexed = index.at(*position);
        INFO("worker " << capacity.id);
        REQUIRE(indexed.host == capacity.host);
        REQUIRE(indexed.accepts_tasks == capacity.accepts_tasks);
        REQUIRE(indexed.free == capacity.free);
        REQUIRE(indexed.free_after_stops == capacity.free_after_stops);
        REQUIRE(indexed.in_use == capacity.in_use);
        REQUIRE(indexed.has_unproven_run == capacity.has_unproven_run);
        REQUIRE(indexed.suspect == capacity.suspect);
        free += capacity.accepts_tasks ? std::max<std::int64_t>(0, capacity.free.accelerators) : 0;
    }
    REQUIRE(index.free_accelerators() == free);
}

void check_racks(const capacity_index& index, const std::vector<worker_capacity>& expected) {
    std::map<std::string, std::pair<std::int64_t, std::size_t>> sums;
    for (const auto& capacity : expected) {
        auto& [free, count] = sums[capacity.host->report.rack];
        free += capacity.accepts_tasks ? std::max<std::int64_t>(0, capacity.free.accelerators) : 0;
        ++count;
    }
    REQUIRE(index.racks().size() == sums.size());
    for (const auto& [name, sum] : sums) {
        const rack_capacity* rack = index.rack(name);
        REQUIRE(rack != nullptr);
        REQUIRE(rack->free_accelerators == sum.first);
        const auto& by_speed = rack->by_speed.free;
        REQUIRE(std::accumulate(by_speed.begin(), by_speed.end(), std::int64_t{0}) == sum.first);
        REQUIRE(rack->workers.size() == sum.second);
        REQUIRE(index.racks().contains({sum.first, name}));
    }
}

/** Returns the accelerators and the memory of the best fit that a linear search finds. */
std::optional<std::pair<std::int64_t, std::int64_t>>
best_fit_by_linear_search(const std::vector<worker_capacity>& capacities,
                          const task_group_request& request, capacity_kind kind) {
    std::optional<std::pair<std::int64_t, std::int64_t>> best;
    for (const auto& capacity : capacities) {
        const resources& available =
            kind == capacity_kind::free ? capacity.free : capacity.free_after_stops;
        const std::pair key(available.accelerators, available.memory_mb);
        if (fits(booked_resources(*request.spec), available) && eligible(capacity, request) &&
            (!best || key < *best)) {
            best = key;
        }
    }
    return best;
}

void check_best_fit(capacity_index& index, const std::vector<worker_capacity>& expected,
                    const job& owner, capacity_kind kind) {
    task_group_request request{&owner, &owner.spec.steps[0], {}, {}};
    const auto best = best_fit_by_linear_search(expected, request, kind);
    const auto chosen = book_best_fit(index, all_racks, request, 1, kind);
    REQUIRE(chosen.empty() == !best.has_value());
    if (best) {
        const worker_capacity& capacity = index.at(chosen[0]);
        resources before_booking =
            kind == capacity_kind::free ? capacity.free : capacity.free_after_stops;
        before_booking += booked_resources(*request.spec);
        REQUIRE(std::pair(before_booking.accelerators, before_booking.memory_mb) == *best);
        unbook(index, request, chosen);
    }
}

void check_waiting_jobs_and_demand(coordinator_state& state) {
    std::map<std::string, std::int64_t> demand;
    for (const auto& [id, j] : state.jobs) {
        if (j->ended()) {
            continue;
        }
        if (j->policy.priority == 0) {
            demand[j->spec.account] += max_step_accelerators(j->spec);
        }
        bool idle = false;
        for_each_task(*j, [&](const task_id&, const task_ref& ref) {
            idle = idle || ref.item->phase == task_phase::idle;
        });
        INFO("job " << id);
        REQUIRE((!idle || state.waiting_jobs.contains(id)));
    }
    for (const auto& [account, accelerators] : state.urgent_demand) {
        REQUIRE(demand[account] == accelerators);
    }
}

void check_history(unsigned seed, bool queues_change) {
    INFO("seed " << seed);
    random_cluster cluster(seed);
    if (queues_change) {
        cluster.change_queues();
    }
    coordinator_state& state = cluster.fixture().state;
    for (int i = 0; i < steps_per_history; ++i) {
        cluster.step();
        const time_ms now = cluster.fixture().now.monotonic_ms;
        refresh_capacities(state, now);
        const auto expected = compute_capacities(state, now);
        check_workers(state.capacities, expected);
        check_racks(state.capacities, expected);
        check_waiting_jobs_and_demand(state);
        if (!state.jobs.empty()) {
            check_best_fit(state.capacities, expected, *state.jobs.begin()->second,
                           capacity_kind::free);
            check_best_fit(state.capacities, expected, *state.jobs.rbegin()->second,
                           capacity_kind::free_after_stops);
        }
    }
}

} // namespace

TEST_CASE("incremental updates of capacities and waiting jobs equal a full recomputation") {
    for (unsigned seed = 1; seed <= 30; ++seed) {
        check_history(seed, false);
        check_history(seed, true);
    }
}

TEST_CASE("random histories reach every task phase that lasts without a leader change") {
    std::set<task_phase> seen_phases;
    for (unsigned seed = 1; seed <= 5; ++seed) {
        random_cluster cluster(seed);
        for (int i = 0; i < steps_per_history; ++i) {
            cluster.step();
            for (const auto& [id, j] : cluster.fixture().state.jobs) {
                for_each_task(*j, [&](const task_id&, const task_ref& ref) {
                    seen_phases.insert(ref.item->phase);
                });
            }
        }
    }
    // `placed` lasts only within one event, and `unverified` occurs only after a leader change.
    for (const auto phase : {task_phase::idle, task_phase::ordered, task_phase::running,
                             task_phase::stopping, task_phase::complete}) {
        CHECK(seen_phases.contains(phase));
    }
}
