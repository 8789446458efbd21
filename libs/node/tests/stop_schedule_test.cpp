#include "stop_schedule.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

constexpr time_ms started_at = 100'000;
constexpr time_ms grace_ms = 6000;
/** A request may stay unanswered if it was sent this long before its connection ended. */
constexpr time_ms loss_slack_ms = 200;

} // namespace

TEST_CASE("an idle host stays until its load balancer has noticed, then exits") {
    stop_schedule s{started_at, 0};
    CHECK(next_step(s, started_at + 1000, grace_ms, true) == stop_step::serve);
    CHECK(next_step(s, started_at + 2300, grace_ms, false) == stop_step::serve);
    CHECK(next_step(s, started_at + 2400, grace_ms, true) == stop_step::exit);
}

TEST_CASE("open calls are answered once, before the exit and before the process is killed") {
    stop_schedule s{started_at, 0};
    time_ms answered_at = 0;
    time_ms exit_at = 0;
    for (time_ms now = started_at; exit_at == 0 && now <= started_at + grace_ms; now += 25) {
        const stop_step step = next_step(s, now, grace_ms, answered_at != 0);
        if (step == stop_step::answer_calls) {
            CHECK(answered_at == 0);
            answered_at = now;
        } else if (step == stop_step::exit) {
            exit_at = now;
        }
    }
    REQUIRE(answered_at != 0);
    CHECK(exit_at > answered_at + loss_slack_ms);
    CHECK(exit_at < started_at + grace_ms);
}

// A process that wasn't run for a while must not exit in the step in which it answers.
TEST_CASE("a host that is late answers before it exits") {
    stop_schedule s{started_at, 0};
    CHECK(next_step(s, started_at + 4000, grace_ms, false) == stop_step::serve);
    CHECK(next_step(s, started_at + 5600, grace_ms, false) == stop_step::answer_calls);
    CHECK(next_step(s, started_at + 5625, grace_ms, true) == stop_step::serve);
    CHECK(next_step(s, started_at + 6100, grace_ms, true) == stop_step::exit);
}
