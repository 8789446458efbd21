#include "coordinator_fixture.h"
#include "simulated_cluster.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

/** Two racks of 8. */
constexpr int workers = 16;
constexpr time_ms usual_run_ms = 5000;
/** `stop_timeout_ms` and 600 ms. */
constexpr time_ms ends_bound_ms = 1000;

job_spec make_wide_job(const std::string& id, int priority, std::uint32_t tasks,
                       time_ms estimate_ms) {
    auto spec = coordinator_fixture::make_job(id, tasks, {1000, 1000, 8}, priority);
    spec.account = priority == 0 ? "owner" : "other";
    spec.steps[0].estimate_ms = estimate_ms;
    spec.steps[0].gang = priority == 0;
    spec.steps[0].same_rack = priority == 0;
    return spec;
}

struct full_fleet {
    simulated_cluster cluster;

    /** Fills all workers, `ending` of them with runs of which 700 ms are left at the end. */
    explicit full_fleet(bool learned, std::uint32_t ending = workers,
                        time_ms duration_ms = usual_run_ms)
        : cluster(workers, make_settings(learned), {}) {
        cluster.set_guarantee("owner", 8L * workers);
        cluster.set_duration("ending", duration_ms);
        cluster.submit(make_wide_job("ending", 2, ending, usual_run_ms));
        if (ending < workers) {
            cluster.submit(make_wide_job("long", 2, workers - ending, 60'000));
        }
        cluster.run_for(usual_run_ms - 700);
    }

    static settings make_settings(bool learned) {
        settings s;
        s.learned_run_times = learned;
        return s;
    }
    void submit_gang(const std::string& id, std::uint32_t tasks) {
        cluster.submit(make_wide_job(id, 0, tasks, 2500));
    }
    [[nodiscard]] int stops() const {
        return cluster.stop_count("ending") + cluster.stop_count("long") +
               cluster.stop_count("waiting");
    }
};

} // namespace

TEST_CASE("urgent gangs on a full fleet whose runs are about to end stop nothing") {
    const bool learned = GENERATE(true, false);
    full_fleet fleet(learned);
    fleet.cluster.submit(make_wide_job("waiting", 2, workers, usual_run_ms));
    for (const auto* id : {"gang-1", "gang-2", "gang-3"}) {
        fleet.submit_gang(id, 4);
    }
    fleet.cluster.run_for(1500);
    for (const auto* id : {"gang-1", "gang-2", "gang-3"}) {
        CHECK(fleet.cluster.last_start_delay_ms(id) >= 0);
        CHECK(fleet.cluster.last_start_delay_ms(id) <= ends_bound_ms);
    }
    CHECK(fleet.stops() == (learned ? 0 : 12));
}

TEST_CASE("two urgent gangs don't wait for the same runs, and only runs far from their end stop") {
    full_fleet fleet(true, 4);
    fleet.submit_gang("gang-1", 4);
    fleet.submit_gang("gang-2", 4);
    fleet.cluster.run_for(1500);
    CHECK(fleet.cluster.last_start_delay_ms("gang-1") >= 0);
    CHECK(fleet.cluster.last_start_delay_ms("gang-2") >= 0);
    CHECK(fleet.cluster.stop_count("ending") == 0);
    CHECK(fleet.cluster.stop_count("long") == 4);
}

// The run that is about to end is the newer one, so it would be the cheaper one to stop.
TEST_CASE("where a run that is about to end isn't enough, only the run beside it is stopped") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.run_job(f.make_job("long", 1, {1000, 1000, 4}));
    f.advance(2000);
    f.run_job(f.make_job("ending", 1, {1000, 1000, 4}));
    f.advance(2000);
    f.answer_poll("w1", {{{"long", 0, 0, 0}, 1, "", 5}, {{"ending", 0, 0, 0}, 1, "", 80}});
    f.advance(100);
    f.send(job_submitted{make_wide_job("urgent", 0, 1, 2500)});
    const auto stops = f.take_all<send_stop>();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task.job == "long");
}

// Runs at 100 percent may take seven times longer.
TEST_CASE("a wrong expectation delays guaranteed work by the time of a stop at most") {
    full_fleet fleet(true, workers, 7 * usual_run_ms);
    fleet.submit_gang("gang", 8);
    fleet.cluster.run_for(ends_bound_ms - 400);
    CHECK(fleet.stops() == 0);
    fleet.cluster.run_for(2000);
    CHECK(fleet.stops() == 8);
    CHECK(fleet.cluster.last_start_delay_ms("gang") >= 0);
    CHECK(fleet.cluster.last_start_delay_ms("gang") <= 2 * ends_bound_ms);
}

// A run whose progress slows down stays close to its expected end for any length of time.
TEST_CASE("urgent work doesn't wait longer for a run whose expected end recedes, nor stop it") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.run_job(make_wide_job("long", 2, 1, 60'000));
    f.add_worker("w2");
    f.run_job(make_wide_job("receding", 2, 1, 60'000));
    const auto report = [&](int percent) {
        f.advance(200);
        f.answer_poll("w1", {{{"long", 0, 0, 0}, 1, "", percent / 10}});
        f.answer_poll("w2", {{{"receding", 0, 0, 0}, 1, "", percent}});
        f.advance(50);
        f.advance(50);
    };
    for (const int percent : {20, 40, 60, 80, 82, 84, 85}) {
        report(percent);
    }
    f.send(job_submitted{make_wide_job("urgent", 0, 1, 2500)});
    for (int waited = 300; waited < ends_bound_ms; waited += 300) {
        report(85 + waited / 300);
        CHECK_FALSE(f.take<send_stop>());
    }
    report(89);
    report(90);
    const auto stop = f.take<send_stop>();
    REQUIRE(stop);
    CHECK(stop->task.job == "long");
}
