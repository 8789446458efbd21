#include "measured_fleet.h"

#include <catch2/catch.hpp>

namespace fulmarworks::scheduler {

TEST_CASE("a large gang whose worker drains before the start is released") {
    measured_fleet f(1);
    auto spec = coordinator_fixture::make_job("a", most_tasks, {1, 1, 0});
    spec.steps[0].gang = true;
    f.measure(job_submitted{spec});
    REQUIRE(f.state.batch_open);
    auto report = coordinator_fixture::make_report("w0", "r0");
    report.draining = true;
    f.handle(workers_reported{{worker_reported{report}}, false, f.now.monotonic_ms});
    CHECK(f.starts == 0);
    CHECK(f.first_task("a").phase == task_phase::idle);
    CHECK(f.longest_ms < longest_event_ms);
}

} // namespace fulmarworks::scheduler
