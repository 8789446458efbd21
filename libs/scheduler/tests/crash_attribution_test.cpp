#include "coordinator_fixture.h"
#include "crash_attribution.h"
#include "worker_loss.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

TEST_CASE("a crash is attributed to runs that had just started, first to earlier suspects") {
    const loss_count none;
    const loss_count suspect{1, 1, 1, 0};
    SECTION("a run that had lasted is no cause beside one that had just started") {
        const crashed_run runs[] = {{"a", true, none}, {"b", false, none}};
        const auto result = attribute_crash(runs);
        CHECK(result.causes == std::vector<std::size_t>{1});
        CHECK(result.conclusive);
    }
    SECTION("between two jobs that had just started, the crash is not conclusive") {
        const crashed_run runs[] = {{"a", false, suspect}, {"b", false, none}};
        const auto result = attribute_crash(runs);
        CHECK(result.causes == std::vector<std::size_t>{0});
        CHECK_FALSE(result.conclusive);
    }
    SECTION("tasks of one job are not told apart") {
        const crashed_run runs[] = {{"a", false, none}, {"a", false, none}};
        CHECK(attribute_crash(runs).conclusive);
    }
    SECTION("a crash long after every start has no likely cause") {
        const crashed_run runs[] = {{"a", true, suspect}, {"b", true, none}};
        const auto result = attribute_crash(runs);
        CHECK(result.causes.empty());
        CHECK_FALSE(result.conclusive);
    }
}

// Found by CI, soak seed 4000: a job was given up although one worker only had crashed under it.
TEST_CASE("a crash counts towards giving up only if the worker was up when the start was sent") {
    coordinator_fixture f;
    f.add_worker("w1");
    auto other = f.make_job("other", 1, {1000, 1000, 1});
    other.steps[0].required_label = "r1"; // stays on w1, and keeps a poll outstanding there
    const auto order = f.run_job(other);
    REQUIRE(order);
    f.advance(run_probation_ms);
    f.answer_poll("w1", {{order->task, order->run, "", 10}});
    f.advance(25);
    f.advance(400);
    f.send(job_submitted{f.make_job("a", 1, {1000, 1000, 1})});
    REQUIRE(f.take<send_start>());
    bool counts = false;
    SECTION("the worker may have been down already") {}
    SECTION("its connection was open until after the start") {
        f.advance(25);
        f.send(poll_failed{"w1", order_failure::no_answer});
        counts = true;
    }
    SECTION("it accepted the start") {
        f.accept_start({{"w1", 1}, "", {"a", 0, 0, 0}, 1, "", "", 0});
        counts = true;
    }
    SECTION("it left the poll without an answer") {
        f.advance(1000);
        f.send(poll_failed{"w1", order_failure::no_answer});
    }
    SECTION("it answered a later poll without the run") {
        f.answer_poll("w1", {{order->task, order->run, "", 10}});
        f.advance(25);
        f.answer_poll("w1", {{order->task, order->run, "", 10}});
        f.advance(25);
        f.advance(400);
        f.send(poll_failed{"w1", order_failure::no_answer});
    }
    f.send(poll_failed{"w1", order_failure::other_incarnation});
    REQUIRE(f.first_task("a").losses.start_crashes == 1);
    for (const char* next : {"w2", "w3", "w4"}) {
        INFO(next);
        REQUIRE_FALSE(f.state.jobs.at("a")->failed);
        f.add_worker(next, "r2");
        REQUIRE(f.first_task("a").where.id == next);
        f.send(poll_failed{next, order_failure::other_incarnation});
        if (counts && f.first_task("a").losses.crashes == max_witnessed_crashes) {
            break;
        }
    }
    CHECK(f.state.jobs.at("a")->failed);
}

// Found by the soak, seed 8000: the worker restarted for another reason, 750 ms after the start.
TEST_CASE("a suspect is known to have lasted for its probation before a long poll would end") {
    coordinator_fixture f;
    f.add_worker("w1");
    REQUIRE(f.run_job(f.make_job("suspect", 1, {1000, 1000, 1})));
    f.send(poll_failed{"w1", order_failure::other_incarnation});
    f.add_worker("w2");
    const auto start = f.take<send_start>();
    REQUIRE(start);
    f.accept_start(*start);
    f.take_all<send_poll>();
    f.advance(25);
    const auto poll = f.take<send_poll>();
    REQUIRE(poll);
    CHECK(poll->wait_ms <= run_probation_ms);
    f.advance(poll->wait_ms);
    f.answer_poll("w2", {{start->task, start->run, "", 10}});
    f.send(poll_failed{"w2", order_failure::other_incarnation});
    CHECK(f.first_task("suspect").losses.crashes == 2);
    CHECK_FALSE(f.state.jobs.at("suspect")->failed);
}

// Found by the soak, seed 8047: the worker crashed, was told to drain and came back.
TEST_CASE("a draining worker that is lost before it may leave has crashed") {
    constexpr time_ms drain_ms = 5000;
    coordinator_fixture f;
    f.add_worker("w1");
    REQUIRE(f.run_job(f.make_job("a", 1, {1000, 1000, 1})));
    auto report = f.make_report("w1");
    report.draining = true;
    report.remaining_ms = drain_ms;
    f.send(worker_reported{report});
    std::uint32_t crashes = 0;
    SECTION("lost before") {
        f.send(poll_failed{"w1", order_failure::other_incarnation});
        crashes = 1;
    }
    SECTION("silent before, replaced after") {
        f.send(poll_failed{"w1", order_failure::no_answer});
        f.now.monotonic_ms += drain_ms;
        f.send(poll_failed{"w1", order_failure::other_incarnation});
        crashes = 1;
    }
    SECTION("lost after") {
        f.now.monotonic_ms += drain_ms;
        f.send(poll_failed{"w1", order_failure::other_incarnation});
    }
    CHECK(f.first_task("a").losses.crashes == crashes);
}
