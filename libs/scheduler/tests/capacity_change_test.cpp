#include "coordinator_fixture.h"
#include "simulated_cluster.h"

#include <catch2/catch.hpp>
#include <random>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr resources one_accelerator{1000, 1000, 1};

worker_report shrunken_report(const std::string& id, std::int64_t accelerators) {
    auto report = coordinator_fixture::make_report(id);
    report.capacity.accelerators = accelerators;
    return report;
}

} // namespace

TEST_CASE("a placed task doesn't start on a worker whose capacity shrank in the meantime") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.confirm_stores = false;
    f.send(job_submitted{f.make_job("a", 3, one_accelerator)});
    REQUIRE(f.take<store_records>());
    f.send(worker_reported{shrunken_report("w1", 1)});
    f.confirm_stores = true;
    f.send(records_stored{});
    CHECK(f.take_all<send_start>().size() == 1);
    f.add_worker("w2");
    const auto starts = f.take_all<send_start>();
    REQUIRE(starts.size() == 2);
    CHECK(starts[0].where.id == "w2");
    CHECK(starts[1].where.id == "w2");
}

TEST_CASE("an unanswered start isn't repeated on a worker whose capacity shrank below its runs") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.send(job_submitted{f.make_job("a", 2, one_accelerator)});
    REQUIRE(f.take_all<send_start>().size() == 2);
    f.send(worker_reported{shrunken_report("w1", 1)});
    f.advance(1000);
    CHECK_FALSE(f.take<send_start>());
}

TEST_CASE("no start exceeds a capacity that shrinks and grows while runs are being stopped") {
    const time_ms store_latency_ms = GENERATE(5, 200);
    INFO("store latency " << store_latency_ms);
    constexpr int workers = 16;
    simulated_cluster cluster(workers, {}, {5, store_latency_ms, 400});
    cluster.set_guarantee("account", 4 * workers);
    std::mt19937 random(7);
    for (int i = 0; i < 400; ++i) {
        const int priority = i % 4 == 0 ? 0 : 1 + i % 2;
        const auto tasks = static_cast<std::uint32_t>(1 + random() % 4);
        const auto needed = static_cast<std::int64_t>(1 + random() % 3);
        auto spec = coordinator_fixture::make_job("job-" + std::to_string(i), tasks,
                                                  {4000, 16'384, needed}, priority);
        spec.steps[0].estimate_ms = 1000 + static_cast<time_ms>(random() % 4000);
        spec.steps[0].gang = i % 5 == 0;
        cluster.submit(spec);
        cluster.run_for(100);
        const auto accelerators = static_cast<std::int64_t>(2 + random() % 7);
        cluster.change_capacity("w" + std::to_string(random() % workers),
                                {128'000, 262'144, accelerators});
        if (i % 100 == 99) {
            cluster.change_leader();
        }
    }
    cluster.run_for(60 * milliseconds_per_second);
    CHECK(cluster.overbooking_start_count() == 0);
    for (const auto& [id, j] : cluster.state().jobs) {
        INFO("job " << id);
        CHECK(j->visible_state == job_state::completed);
    }
}
