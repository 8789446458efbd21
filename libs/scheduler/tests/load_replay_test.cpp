#include "coordinator_fixture.h"
#include "replayed_load.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

/** Bounds of the larger deployments: guaranteed work has begun within `reclaim_ms`. */
constexpr time_ms reclaim_ms = 2700;
constexpr int workers = 48;
constexpr int accelerators = workers * 8;
constexpr time_ms long_ms = 60'000;

settings limits() {
    settings s;
    s.reclaim_ms = reclaim_ms;
    return s;
}

job_spec make(const std::string& id, int priority, int tasks, std::int64_t gpus, time_ms estimate,
              bool gang = false) {
    auto spec = coordinator_fixture::make_job(id, static_cast<std::uint32_t>(tasks),
                                              {4000, 16'384, gpus}, priority);
    spec.account = priority == 0 ? "owner" : "other";
    spec.steps[0].estimate_ms = estimate;
    spec.steps[0].gang = gang;
    spec.steps[0].same_rack = gang;
    return spec;
}

/** Every accelerator is taken by long work, and more of it waits. */
void fill(replayed_load& load, int waiting_jobs) {
    load.set_guarantee("owner", accelerators / 4);
    for (int i = 0; i < accelerators / 8 + waiting_jobs; ++i) {
        load.submit(make("long-" + std::to_string(i), 1 + i % 2, 4, 2, long_ms));
    }
    load.run_for(1500);
}

void check_started(const replayed_load& load, const std::string& id) {
    INFO("job " << id);
    const time_ms took = load.last_start_after_ms(id);
    CHECK(took >= 0);
    CHECK(took <= reclaim_ms);
}

} // namespace

TEST_CASE("a burst of guaranteed work on a full cluster begins within the reclaim bound") {
    replayed_load load(workers, limits(), {});
    fill(load, 100);
    for (int i = 0; i < 12; ++i) {
        load.submit(make("urgent-" + std::to_string(i), 0, 4, 1, 2500));
    }
    load.run_for(reclaim_ms + 100);
    for (int i = 0; i < 12; ++i) {
        check_started(load, "urgent-" + std::to_string(i));
    }
}

TEST_CASE("a guaranteed gang in one rack of a full cluster begins within the reclaim bound") {
    replayed_load load(workers, limits(), {});
    fill(load, 20);
    load.submit(make("gang", 0, 8, 8, 2500, true));
    load.run_for(reclaim_ms + 100);
    check_started(load, "gang");
}

TEST_CASE("guaranteed work begins within the reclaim bound while the store is slow") {
    // Fifty times the usual 4 ms, as the deployments' days bring it.
    replayed_load load(workers, limits(), {5, 200, 400});
    fill(load, 100);
    for (int i = 0; i < 6; ++i) {
        load.submit(make("urgent-" + std::to_string(i), 0, 8, 1, 2500));
        load.run_for(100);
    }
    load.run_for(reclaim_ms + 100);
    for (int i = 0; i < 6; ++i) {
        check_started(load, "urgent-" + std::to_string(i));
    }
}

TEST_CASE("guaranteed work begins within the reclaim bound right after a change of the leader") {
    replayed_load load(workers, limits(), {});
    fill(load, 100);
    load.submit(make("before", 0, 16, 2, 2500));
    load.run_for(50);
    load.change_leader();
    load.submit(make("after", 0, 16, 2, 2500));
    load.run_for(reclaim_ms + 100);
    check_started(load, "before");
    check_started(load, "after");
}

TEST_CASE("work that waits in vain doesn't stop what runs, and what ends makes room for it") {
    replayed_load load(workers, limits(), {});
    fill(load, 100);
    load.run_for(2000);
    for (int i = 0; i < accelerators / 8 + 100; ++i) {
        CHECK(load.stops_of("long-" + std::to_string(i)) == 0);
    }
    load.run_for(long_ms + 5000);
    std::size_t begun = 0;
    for (const auto& [id, j] : load.state().jobs) {
        begun += j->started ? 1 : 0;
    }
    CHECK(begun >= 2 * accelerators / 8);
}
