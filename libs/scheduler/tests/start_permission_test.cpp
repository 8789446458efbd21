#include "coordinator_fixture.h"

#include <catch2/catch.hpp>

using namespace fulmarworks::scheduler;

namespace {

constexpr fulmarworks::time_ms drain_bound_ms = 2000;

/** A coordinator whose view of the registry was confirmed at `f.now`, with worker w1. */
struct followed_registry : coordinator_fixture {
    followed_registry() {
        state.limits.drain_bound_ms = drain_bound_ms;
        add_worker("w1");
        registry_is_current = false;
    }

    void read_registry(std::vector<registry_change> changes = {}) {
        send(workers_reported{std::move(changes), false, now.monotonic_ms});
    }

    registry_change draining() {
        auto report = make_report("w1");
        report.draining = true;
        report.remaining_ms = drain_bound_ms;
        return worker_reported{report};
    }

    job_spec small_job(const std::string& id = "a") { return make_job(id, 1, {1000, 1000, 1}); }
};

} // namespace

TEST_CASE("nothing starts while the registry hasn't been read for the drain bound") {
    followed_registry f;
    f.advance(drain_bound_ms);
    CHECK_FALSE(f.run_job(f.small_job()));
    f.read_registry();
    const auto order = f.take<send_start>();
    REQUIRE(order);
    CHECK(order->where.id == "w1");
}

TEST_CASE("a worker that began to drain while the registry couldn't be read gets no start") {
    followed_registry f;
    f.advance(drain_bound_ms);
    f.send(job_submitted{f.small_job()});
    f.read_registry({f.draining()});
    f.advance(500);
    f.read_registry();
    CHECK_FALSE(f.take<send_start>());
}

TEST_CASE("a placement that is stored after the view became late waits, then is released") {
    followed_registry f;
    f.confirm_stores = false;
    f.send(job_submitted{f.small_job()});
    REQUIRE(f.take<store_records>());
    f.advance(drain_bound_ms);
    f.send(records_stored{});
    CHECK_FALSE(f.take<send_start>());
    SECTION("the worker drains") {
        f.read_registry({f.draining()});
        CHECK_FALSE(f.take<send_start>());
        CHECK(f.first_task("a").phase == task_phase::idle);
    }
    SECTION("the worker stays") {
        f.read_registry();
        CHECK(f.take<send_start>());
    }
}

TEST_CASE("an unanswered start isn't sent again under a late view") {
    followed_registry f;
    f.send(job_submitted{f.small_job()});
    REQUIRE(f.take<send_start>());
    f.advance(drain_bound_ms);
    f.advance(500);
    CHECK_FALSE(f.take<send_start>());
    f.read_registry();
    f.advance(500);
    CHECK(f.take<send_start>());
}

TEST_CASE("the age of the view and the time for which a start is sent stay below the bound") {
    followed_registry f;
    const auto confirmed_at = f.now.monotonic_ms;
    fulmarworks::time_ms latest = 0;
    std::uint64_t ends = 0;
    for (int i = 0; f.now.monotonic_ms < confirmed_at + 2 * drain_bound_ms; ++i) {
        if (const auto order = f.run_job(f.small_job("j" + std::to_string(i)))) {
            latest = order->send_until_ms;
            f.answer_poll("w1", {}, {{++ends, order->task, order->run, end_reason::done, ""}});
        }
        f.advance(50);
    }
    CHECK(latest > confirmed_at);
    CHECK(latest < confirmed_at + drain_bound_ms);
}

// A leader that is short of processor time gives orders up before it has sent them.
TEST_CASE("a start that wasn't sent is sent again, more often than one without an answer") {
    followed_registry f;
    f.registry_is_current = true;
    f.send(job_submitted{f.small_job()});
    auto order = f.take<send_start>();
    constexpr int given_up = 8;
    for (int i = 0; i < given_up; ++i) {
        REQUIRE(order);
        f.send(start_answered{"w1", order->task, order->run, false, order_failure::not_sent,
                              order->send_until_ms});
        f.advance(500);
        order = f.take<send_start>();
    }
    REQUIRE(order);
    f.accept_start(*order);
    CHECK(f.first_task("a").phase == task_phase::running);
    CHECK(f.first_task("a").run == 1);
}

TEST_CASE("runs under a late view go on") {
    followed_registry f;
    const auto order = f.run_job(f.small_job());
    REQUIRE(order);
    f.advance(drain_bound_ms);
    f.answer_poll("w1", {{order->task, order->run, "", 10}});
    f.advance(50);
    CHECK(f.take<send_poll>());
    CHECK_FALSE(f.take<send_stop>());
    CHECK(f.first_task("a").phase == task_phase::running);
}
