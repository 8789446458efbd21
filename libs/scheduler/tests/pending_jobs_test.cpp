#include "coordinator_fixture.h"

#include <catch2/catch.hpp>

namespace fulmarworks::scheduler {

// Guards against a queue that counts as empty while its jobs wait for starts that reached no
// worker.
TEST_CASE("a job is pending until a worker has confirmed a start") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.send(job_submitted{f.make_job("a", 1, {1000, 1000, 1})});
    const std::string queue = f.state.jobs.at("a")->spec.queue;
    const auto order = f.take<send_start>();
    REQUIRE(order);
    CHECK(pending_jobs(f.state, queue) == 1);
    SECTION("by its answer") {
        f.accept_start(*order);
    }
    SECTION("by its list of runs") {
        f.answer_poll("w1", {{{"a", 0, 0, 0}, 1, "", 0}});
    }
    SECTION("by the end of the run") {
        f.answer_poll("w1", {}, {{1, {"a", 0, 0, 0}, 1, end_reason::failed, ""}});
    }
    CHECK(pending_jobs(f.state, queue) == 0);
}

} // namespace fulmarworks::scheduler
