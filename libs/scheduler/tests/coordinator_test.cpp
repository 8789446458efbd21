#include "coordinator_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr resources whole_worker{1000, 1000, 8};
constexpr resources one_accelerator{1000, 1000, 1};

} // namespace

TEST_CASE("a start is sent only after its placement is stored") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.confirm_stores = false;
    f.send(job_submitted{f.make_job("a", 1, one_accelerator)});
    REQUIRE(f.take<store_records>());
    CHECK_FALSE(f.take<send_start>());
    f.send(records_stored{});
    CHECK(f.take<send_start>());
}

TEST_CASE("the end of a run is acknowledged to its worker only after it is stored") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.send(job_submitted{f.make_job("a", 1, one_accelerator)});
    f.accept_start(*f.take<send_start>());
    f.advance(50);
    f.take_all<send_poll>();
    f.confirm_stores = false;
    f.answer_poll("w1", {}, {{1, {"a", 0, 0, 0}, 1, end_reason::done, ""}});
    f.advance(50);
    CHECK(f.state.jobs.at("a")->visible_state == job_state::queued);
    CHECK_FALSE(f.take<send_poll>());
    f.send(records_stored{});
    CHECK(f.state.jobs.at("a")->visible_state == job_state::completed);
    CHECK(f.state.workers.at("w1").stored_sequence == 1);
}

// The answer to a poll sent before the start was carried out doesn't list the run. Taking that for
// the end of the run led to two concurrent runs of one task.
TEST_CASE("the answer to a poll sent before a run was confirmed doesn't release the run") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.send(job_submitted{f.make_job("a", 1, one_accelerator)});
    const time_ms before = f.now.monotonic_ms;
    f.now.monotonic_ms += 10;
    f.accept_start(*f.take<send_start>());
    f.now.monotonic_ms += 1;
    f.answer_poll("w1", {}, {}, before);
    CHECK(f.first_task("a").phase == task_phase::running);
    f.now.monotonic_ms += 1;
    f.answer_poll("w1", {}, {}, f.now.monotonic_ms);
    CHECK(f.first_task("a").run == 2);
}

namespace {

bool is_assigned(const task& t) {
    return t.phase == task_phase::placed || t.phase == task_phase::ordered ||
           t.phase == task_phase::running;
}

} // namespace

// Repeated stops were half of all orders on a fleet with a full link.
TEST_CASE(
    "a stop that its worker has confirmed is sent again only if the run doesn't end in time") {
    coordinator_fixture f;
    run_one_task(f);
    f.send(cancel_requested{"a", 1});
    const auto stop = f.take<send_stop>();
    REQUIRE(stop);
    SECTION("confirmed") {
        f.send(stop_answered{"w1", stop->task, stop->run, true, {}});
        f.advance(900);
        CHECK_FALSE(f.take<send_stop>());
        f.advance(600);
        CHECK(f.take<send_stop>());
    }
    SECTION("not answered") {
        f.advance(500);
        CHECK(f.take<send_stop>());
    }
}

// While the store answers slowly, a worker may begin to drain between a placement and its start.
TEST_CASE("a placed task doesn't start on a worker that has begun to drain") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.confirm_stores = false;
    f.send(job_submitted{f.make_job("a", 2, one_accelerator)});
    REQUIRE(f.take<store_records>());
    auto report = f.make_report("w1");
    report.draining = true;
    f.send(worker_reported{report});
    f.confirm_stores = true;
    f.send(records_stored{});
    CHECK_FALSE(f.take<send_start>());
    f.add_worker("w2");
    const auto starts = f.take_all<send_start>();
    REQUIRE(starts.size() == 2);
    CHECK(starts[0].where.id == "w2");
    CHECK(starts[1].where.id == "w2");
}

TEST_CASE("an unanswered start isn't repeated on a worker that has begun to drain") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.send(job_submitted{f.make_job("a", 1, one_accelerator)});
    REQUIRE(f.take<send_start>());
    auto report = f.make_report("w1");
    report.draining = true;
    f.send(worker_reported{report});
    f.advance(1000);
    CHECK_FALSE(f.take<send_start>());
}

TEST_CASE("a new leader polls the worker of an assigned task before it starts the task again") {
    coordinator_fixture f;
    run_one_task(f);
    const job& known = *f.state.jobs.at("a");
    std::vector<stored_job> stored;
    stored.push_back({known.spec, encode_progress(known)});
    for (const time_ms earlier_orders_until_ms : {0, 7000}) {
        coordinator_fixture successor;
        successor.state = recover({}, stored, successor.now, earlier_orders_until_ms);
        successor.send(worker_reported{successor.make_report("w1")});
        successor.send(tick{});
        successor.send(poll_failed{"w1", order_failure::no_answer});
        successor.add_worker("w2");
        successor.advance(3000);
        CHECK(successor.first_task("a").where.id == "w1");
        successor.send(tick{});
        successor.answer_poll("w1", {{{"a", 0, 0, 0}, 1, "", 40}});
        CHECK(successor.first_task("a").phase == task_phase::running);
        CHECK(successor.first_task("a").run == 1);
    }
}

TEST_CASE("progress survives an encoding round trip and malformed progress is rejected") {
    coordinator_fixture f;
    run_one_task(f);
    job& known = *f.state.jobs.at("a");
    f.first_task("a").checkpoint = "00aa";
    f.first_task("a").failures = 1;
    job restored;
    restored.spec = known.spec;
    REQUIRE(decode_progress(encode_progress(known), restored));
    const task& t = restored.occurrences.at(0).steps.at(0).tasks.at(0);
    CHECK(t.phase == task_phase::unverified);
    CHECK(t.where == worker_incarnation{"w1", 1});
    CHECK(t.checkpoint == "00aa");
    CHECK(t.failures == 1);
    CHECK_FALSE(decode_progress("\x93", restored));
    CHECK_FALSE(decode_progress("", restored));
}

TEST_CASE("a task doesn't wait for the rack of its data while most accelerators are free") {
    coordinator_fixture f;
    f.add_worker("w1", "r1");
    f.add_worker("w2", "r2");
    f.add_worker("w3", "r2");
    const auto filler = f.run_job(f.make_job("filler", 1, whole_worker));
    REQUIRE(filler);
    const std::string busy_rack = f.state.workers.at(filler->where.id).report.rack;
    auto spec = f.make_job("a", 1, whole_worker);
    spec.steps[0].data_rack = "r1";
    if (busy_rack != "r1") {
        f.send(job_submitted{f.make_job("filler2", 1, whole_worker)});
    }
    spec.steps[0].estimate_ms = 60000;
    f.send(job_submitted{spec});
    for (int i = 0; i < 20; ++i) {
        f.advance(100);
    }
    CHECK(is_assigned(f.first_task("a")));
}

TEST_CASE("a job whose stored progress can't be decoded is kept and not started again") {
    coordinator_fixture f;
    std::vector<stored_job> stored;
    stored.push_back({f.make_job("a", 1, one_accelerator), "damaged"});
    f.state = recover({}, stored, f.now, 0);
    f.add_worker("w1");
    f.advance(1000);
    CHECK(f.state.jobs.contains("a"));
    CHECK_FALSE(f.take<send_start>());
}

// The members of a gang end in different milliseconds. The capacity of a member that hadn't ended
// was given to another task (found by the fault soak, seed 18).
TEST_CASE("no task starts in the capacity of a gang member before its worker reports its end") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.add_worker("w2");
    auto spec = f.make_job("a", 2, whole_worker);
    spec.steps[0].gang = true;
    f.send(job_submitted{spec});
    const auto orders = f.take_all<send_start>();
    REQUIRE(orders.size() == 2);
    for (const auto& order : orders) {
        f.accept_start(order);
    }
    f.send(job_submitted{f.make_job("b", 2, whole_worker)});
    f.answer_poll(orders[0].where.id, {}, {{1, orders[0].task, 1, end_reason::done, ""}});
    CHECK(f.state.jobs.at("a")->visible_state == job_state::completed);
    const auto first = f.take_all<send_start>();
    REQUIRE(first.size() == 1);
    CHECK(first[0].where.id == orders[0].where.id);
    f.now.monotonic_ms += 1;
    f.answer_poll(orders[1].where.id, {}, {{1, orders[1].task, 1, end_reason::done, ""}});
    CHECK(f.take_all<send_start>().size() == 1);
}

// Covers a burst of urgent jobs on a cluster full of long-running jobs, some of which write a
// checkpoint when they are stopped.
TEST_CASE("preemption stops a task that checkpoints rather than a newer one that would lose its "
          "progress") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.add_worker("w2");
    auto checkpointing = f.make_job("saving", 1, whole_worker);
    checkpointing.steps[0].checkpoints = true;
    const auto first = f.run_job(checkpointing);
    REQUIRE(first);
    f.advance(2000);
    const auto second = f.run_job(f.make_job("lost", 1, whole_worker));
    REQUIRE(second);
    f.advance(500);
    f.send(job_submitted{f.make_job("urgent", 1, whole_worker, 0)});
    const auto stop = f.take<send_stop>();
    REQUIRE(stop);
    CHECK(stop->task.job == "saving");
}

// A worker restarts under the same id, and its new incarnation carries out a start order that was
// sent to the old one (found by the fault soak, seed 142).
TEST_CASE("a start that a restarted worker may have carried out is stopped before the task is "
          "reassigned") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.send(job_submitted{f.make_job("a", 1, one_accelerator)});
    const auto order = f.take<send_start>();
    REQUIRE(order);
    f.add_worker("w2");
    f.accept_start(*order);
    f.now.monotonic_ms += 10;
    f.answer_poll("w1", {{{"a", 0, 0, 0}, 1, "", 0}}, {}, -1, 2);
    CHECK(f.first_task("a").run == 1);
    CHECK(f.first_task("a").where.id == "w1");
    REQUIRE(f.take<send_stop>());
    f.answer_poll("w1", {}, {{1, {"a", 0, 0, 0}, 1, end_reason::stopped, ""}}, -1, 2);
    CHECK(f.first_task("a").run == 2);
}

TEST_CASE(
    "a task waits while a new incarnation of an unreachable worker may still carry out its start") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.send(job_submitted{f.make_job("a", 1, one_accelerator)});
    f.add_worker("w2");
    auto report = f.make_report("w1");
    report.incarnation.started_wall_ms = 2;
    f.send(worker_reported{report});
    f.send(poll_failed{"w1", order_failure::no_answer});
    f.advance(5900);
    CHECK(f.first_task("a").where.id == "w1");
    f.advance(600);
    CHECK(f.first_task("a").where.id == "w2");
}

TEST_CASE("a run listed by an earlier incarnation of a worker ends with that incarnation") {
    coordinator_fixture f;
    run_one_task(f);
    f.now.monotonic_ms += 10;
    f.answer_poll("w1", {{{"a", 0, 0, 0}, 1, "", 10}});
    f.now.monotonic_ms += 10;
    f.answer_poll("w1", {}, {}, -1, 2);
    CHECK_FALSE(f.take<send_stop>());
    CHECK(f.first_task("a").run == 2);
}

// With 3,000 workers a leader took so long to process one event that its lease expired before it
// could renew it (found in a scaling run with up to 300 hosts).
TEST_CASE("one tick polls a bounded number of workers and successive ticks poll all of them") {
    constexpr std::size_t workers = 2000;
    constexpr std::size_t max_polls_per_tick = 600;
    coordinator_fixture f;
    for (std::size_t i = 0; i < workers; ++i) {
        f.send(worker_reported{f.make_report("w" + std::to_string(i))});
    }
    std::size_t polled = 0;
    for (int ticks = 0; ticks < 4; ++ticks) {
        f.advance(25);
        const std::size_t polled_in_tick = f.take_all<send_poll>().size();
        CHECK(polled_in_tick <= max_polls_per_tick);
        polled += polled_in_tick;
    }
    CHECK(polled == workers);
}

TEST_CASE("idle workers of a large fleet are polled at a bounded rate and none is left out") {
    constexpr std::size_t workers = 1000;
    constexpr int seconds = 30;
    constexpr time_ms tick_ms = 25;
    coordinator_fixture f;
    for (std::size_t i = 0; i < workers; ++i) {
        f.send(worker_reported{f.make_report("w" + std::to_string(i))});
    }
    std::size_t polls = 0;
    std::set<std::string> polled;
    for (time_ms elapsed_ms = 0; elapsed_ms < seconds * 1000; elapsed_ms += tick_ms) {
        f.advance(tick_ms);
        for (const auto& poll : f.take_all<send_poll>()) {
            f.answer_poll(poll.where.id);
            // Polls of the first second aren't counted: they look for runs of an earlier leader and
            // may be sent all at once.
            polls += elapsed_ms > 1000 ? 1 : 0;
            polled.insert(poll.where.id);
        }
    }
    CHECK(polled.size() == workers);
    CHECK(polls >= workers);
    CHECK(polls <= 100 * seconds);
}
