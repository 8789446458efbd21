#include "placement/find_placement.h"
#include "placement/reclaim_plan.h"

#include <catch2/catch.hpp>
#include <random>

using namespace fulmarworks;

namespace {

constexpr task_shape host_capacity = {8, 64, 128};

cluster make_cluster(int racks, int hosts) {
    cluster c;
    const auto p = c.add_pool("p", "d");
    for (int r = 0; r < racks; ++r) {
        const auto index = c.add_rack(p, "r" + std::to_string(r));
        for (int h = 0; h < hosts; ++h) {
            const auto added = c.add_host(index, "r" + std::to_string(r) + "-h" + std::to_string(h),
                                          host_capacity, false);
            c.set_status(added, host_status::up);
        }
    }
    return c;
}

/** Checks every host and position; serves as the reference for the indexed search. */
bool naive_single_fits(const cluster& c, const placement_request& request) {
    for (host_index h = 0; h < c.hosts().size(); ++h) {
        if (!c.is_schedulable(h) || !c.has_cores_and_memory(h, request.shape, request.pinned)) {
            continue;
        }
        const auto available = c.available(h, request.scope);
        for (int first = 0; first + request.shape.accelerators <= 8; ++first) {
            const auto wanted = mask_of(first, request.shape.accelerators);
            if ((available & wanted) == wanted) {
                return true;
            }
        }
    }
    return false;
}

bool naive_rack_gang_fits(const cluster& c, const placement_request& request) {
    for (const auto& r : c.racks()) {
        int tasks = 0;
        for (const host_index h : r.hosts) {
            if (!c.is_schedulable(h)) {
                continue;
            }
            const auto runs = count_runs(c.available(h, request.scope), request.shape.accelerators);
            for (int i = 1; i <= runs; ++i) {
                const task_shape sum = {0, request.shape.cores * i, request.shape.memory_gb * i};
                tasks += c.has_cores_and_memory(h, sum, request.pinned) ? 1 : 0;
            }
        }
        if (tasks >= request.tasks) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("runs are measured, counted and chosen to limit fragmentation") {
    CHECK(longest_run(0b1101110) == 3);
    CHECK(count_runs(0b11101111, 2) == 3);
    CHECK(longest_run(~accelerator_mask{0}) == 64);
    CHECK(count_runs(~accelerator_mask{0}, 64) == 1);
    // Uses the separate pair at 6, so that the aligned block of four at 0 stays free.
    CHECK(best_run(0b11001111, 8, 2) == 6);
    CHECK(best_run(0b11111111, 8, 4) == 0);
    CHECK_FALSE(best_run(0b01010101, 8, 2).has_value());
    CHECK(best_run(0b01111110, 8, 6) == 1);
}

TEST_CASE("a small task is placed on a partly used host and leaves empty hosts free") {
    cluster c = make_cluster(2, 4);
    c.allocate({5, 0, 6}, {6, 6, 6}, true);
    const auto placed =
        find_placement(c, {{2, 2, 2}, 1, true, accelerator_scope::unplanned, {}, false, false});
    REQUIRE(placed);
    CHECK(placed->front() == block{5, 6, 2});
}

TEST_CASE("a gang is placed in one rack, or across racks if no rack could hold it") {
    cluster c = make_cluster(2, 4);
    const task_shape whole_host = {8, 8, 8};
    const auto in_rack =
        find_placement(c, {whole_host, 4, true, accelerator_scope::unplanned, {}, false, false});
    REQUIRE(in_rack);
    for (const auto& b : *in_rack) {
        CHECK(c.hosts()[b.host].rack == c.hosts()[in_rack->front().host].rack);
    }
    CHECK(find_placement(c, {whole_host, 6, true, accelerator_scope::unplanned, {}, false, false})
              .has_value());
    CHECK_FALSE(
        find_placement(c, {whole_host, 9, true, accelerator_scope::unplanned, {}, false, false})
            .has_value());
    c.allocate({0, 0, 1}, {1, 1, 1}, true);
    c.allocate({4, 0, 1}, {1, 1, 1}, true);
    CHECK_FALSE(
        find_placement(c, {whole_host, 4, true, accelerator_scope::unplanned, {}, false, false})
            .has_value());
}

TEST_CASE("the indexed search finds a placement exactly if an exhaustive one does") {
    std::mt19937 random(11);
    cluster c = make_cluster(3, 4);
    struct allocation {
        block where;
        task_shape shape;
        bool pinned;
    };
    std::vector<allocation> allocations;
    for (int step = 0; step < 4000; ++step) {
        const placement_request request = {
            {static_cast<int>(random() % 8) + 1, static_cast<int>(random() % 20), 4},
            1,
            random() % 2 == 0,
            random() % 2 == 0 ? accelerator_scope::unplanned : accelerator_scope::unclaimed,
            {},
            false,
            false};
        const auto placed = find_placement(c, request);
        REQUIRE(placed.has_value() == naive_single_fits(c, request));
        auto gang = request;
        gang.tasks = 1 + static_cast<int>(random() % 4);
        if (gang.tasks > 1) {
            const auto blocks = find_placement(c, gang);
            REQUIRE(blocks.has_value() == naive_rack_gang_fits(c, gang));
        }
        if (placed) {
            REQUIRE(c.can_allocate(placed->front(), request.shape));
            c.allocate(placed->front(), request.shape, request.pinned);
            allocations.push_back({placed->front(), request.shape, request.pinned});
        }
        if (!allocations.empty() && random() % 3 != 0) {
            const std::size_t i = random() % allocations.size();
            c.release(allocations[i].where, allocations[i].shape, allocations[i].pinned);
            allocations.erase(allocations.begin() + static_cast<std::ptrdiff_t>(i));
        }
        if (random() % 50 == 0) {
            c.set_planned(random() % 12, random() % 256);
        }
        if (random() % 50 == 0) {
            c.set_quarantined(random() % 12, random() % 2 == 0);
        }
    }
}

TEST_CASE("pinned tasks keep the reclaim plan feasible, and losing a host unassigns its cell") {
    std::mt19937 random(5);
    configuration config;
    config.guarantees = {{"g1", "a", "p", 2, 8, 1}, {"g2", "b", "p", 1, 4, 2}};
    cluster c = make_cluster(3, 4);
    auto cells = make_guarantee_cells(config);
    update_reclaim_plan(c, cells);
    REQUIRE(is_reclaim_plan_feasible(c, cells));
    for (int step = 0; step < 300; ++step) {
        const placement_request request = {{static_cast<int>(random() % 4), 4, 4},
                                           1,
                                           true,
                                           accelerator_scope::unplanned,
                                           {},
                                           false,
                                           false};
        const auto placed = find_placement(c, request);
        if (!placed) {
            break;
        }
        c.allocate(placed->front(), request.shape, true);
        REQUIRE(is_reclaim_plan_feasible(c, cells));
    }
    c.set_status(cells[0].blocks[0].host, host_status::lost);
    CHECK_FALSE(is_reclaim_plan_feasible(c, cells));
    const auto changed = update_reclaim_plan(c, cells);
    CHECK(std::find(changed.begin(), changed.end(), 0U) != changed.end());
    CHECK(cells[0].blocks.empty());
}

TEST_CASE("fragmentation is the share of free accelerators that the shape can't use") {
    cluster c = make_cluster(1, 2);
    CHECK(fragmentation(c, 2, 8) == 0);
    c.allocate({0, 0, 1}, {1, 1, 1}, true);
    CHECK(fragmentation(c, 2, 8) == 1);
    CHECK(fragmentation(c, 1, 8) == Approx(7.0 / 15));
}
