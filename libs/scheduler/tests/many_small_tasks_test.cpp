#include "measured_fleet.h"

#include <catch2/catch.hpp>

namespace fulmarworks::scheduler {

// Guards against one accepted job that takes its leader longer than its lease, and then each next
// leader, so that the hosts do nothing else (as review/3): the time grew with the square of the
// tasks.
TEST_CASE("a job of many small tasks on few workers is started in time linear in its tasks") {
    measured_fleet f(2);
    f.handle(job_submitted{coordinator_fixture::make_job("a", most_tasks, {1, 1, 0})});
    CHECK(f.starts == most_tasks);
    CHECK(f.longest_ms < longest_event_ms);
}

TEST_CASE("orders for many small tasks on one worker are repeated in time linear in the tasks") {
    measured_fleet f(1);
    f.handle(job_submitted{coordinator_fixture::make_job("a", most_tasks, {1, 1, 0})});
    f.wait();
    CHECK(f.starts == 2 * most_tasks);
    CHECK(f.longest_ms < longest_event_ms);
}

} // namespace fulmarworks::scheduler
