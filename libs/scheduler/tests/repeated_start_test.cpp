#include "coordinator_fixture.h"

#include <catch2/catch.hpp>

namespace fulmarworks::scheduler {

// Guards against a second run of a task whose start was sent again, too late, after the first order
// had been carried out without an answer.
TEST_CASE(
    "a start that is refused as late doesn't show that an earlier order for it had no effect") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.send(job_submitted{coordinator_fixture::make_job("a", 1, {1000, 1000, 1})});
    const auto first = f.take<send_start>();
    REQUIRE(first);
    const bool repeated = GENERATE(false, true);
    if (repeated) {
        f.advance(550);
        REQUIRE(f.take<send_start>());
        REQUIRE(f.first_task("a").order_attempts == 2);
    }
    f.send(start_answered{"w1", first->task, 1, false, order_failure::expired});
    CHECK((f.first_task("a").run == 1) == repeated);
    if (repeated) {
        f.answer_poll("w1", {{first->task, 1, "", 5}});
        CHECK(f.first_task("a").phase == task_phase::running);
    }
}

} // namespace fulmarworks::scheduler
