#include "coordinator_fixture.h"

#include <catch2/catch.hpp>

namespace fulmarworks::scheduler {

namespace {

constexpr time_ms drain_bound_ms = 4000;
/** Time for which a host may still send a start, a quarter of the bound. */
constexpr time_ms sending_limit_ms = 1000;

/** A start on worker w1 that a host has neither sent nor answered yet. */
struct open_order : coordinator_fixture {
    std::optional<send_start> order;
    time_ms ordered_at_ms = 0;

    open_order() {
        state.limits.drain_bound_ms = drain_bound_ms;
        add_worker("w1");
        send(job_submitted{make_job("a", 1, {1000, 1000, 1})});
        order = take<send_start>();
        REQUIRE(order);
        ordered_at_ms = now.monotonic_ms;
        pending_effects.clear();
    }

    void advance_until(time_ms after_order_ms) {
        while (now.monotonic_ms < ordered_at_ms + after_order_ms) {
            advance(50);
        }
    }
};

} // namespace

// Guards against a task that runs again after its end (review/2): while a suspended host held the
// first order, the second was carried out; the worker, which had started again, took the first too.
TEST_CASE("a start isn't ordered again while a host may still send the earlier order") {
    open_order f;
    f.advance_until(sending_limit_ms);
    CHECK_FALSE(f.take<send_start>());
    f.advance_until(sending_limit_ms + 200);
    const auto again = f.take<send_start>();
    REQUIRE(again);
    CHECK(again->run == f.order->run);
    CHECK(f.order->send_until_ms < again->send_until_ms - sending_limit_ms);
}

// Guards against two runs of one task: a stop bars a run only in the incarnation that confirmed it.
TEST_CASE("a task doesn't run elsewhere while a host may still send the order that was withdrawn") {
    open_order f;
    f.answer_poll("w1", {}, {}, -1, 2);
    REQUIRE(f.first_task("a").phase == task_phase::stopping);
    f.send(stop_answered{"w1", f.order->task, 1, true, {}});
    f.advance(50);
    f.answer_poll("w1", {}, {}, -1, 2);
    CHECK(f.first_task("a").phase == task_phase::stopping);
    f.advance_until(sending_limit_ms + 50);
    f.answer_poll("w1", {}, {}, -1, 2);
    CHECK(f.first_task("a").run == 2);
}

TEST_CASE("a task whose start the worker itself refused runs elsewhere at once") {
    open_order f;
    f.send(start_answered{"w1", f.order->task, 1, false, order_failure::superseded,
                          f.order->send_until_ms});
    f.send(stop_answered{"w1", f.order->task, 1, true, {}});
    f.advance(50);
    f.answer_poll("w1");
    CHECK(f.first_task("a").run == 2);
}

// Guards against ends that a worker drops unread, so that their tasks run again: it counts its ends
// anew after a restart, and takes a poll of the time before for an acknowledgement of the first
// ones.
TEST_CASE("a poll acknowledges no ends while the worker may have started again unnoticed") {
    open_order f;
    f.accept_start(*f.order);
    f.answer_poll("w1", {}, {{1, f.order->task, 1, end_reason::done, ""}});
    f.pending_effects.clear();
    f.send(job_submitted{coordinator_fixture::make_job("b", 1, {1000, 1000, 1})});
    REQUIRE(f.take<send_start>());
    f.advance(500);
    REQUIRE(f.take<send_poll>().value().stored_sequence == 1);
    f.send(poll_failed{"w1", order_failure::no_answer});
    f.advance(500);
    auto poll = f.take<send_poll>();
    REQUIRE(poll);
    CHECK(poll->stored_sequence == 0);
    f.answer_poll("w1", {{{"b", 0, 0, 0}, 1, "", 0}});
    f.advance(500);
    poll = f.take<send_poll>();
    REQUIRE(poll);
    CHECK(poll->stored_sequence == 1);
}

} // namespace fulmarworks::scheduler
