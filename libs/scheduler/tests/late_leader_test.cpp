#include "coordinator_fixture.h"
#include "lease.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace fulmarworks::scheduler {

namespace {

const task_id only_task{"a", 0, 0, 0};
constexpr time_ms stall_ms = 4500;

/** Time after a poll within which every lease that it renewed has expired. */
const time_ms latest_lease_end_after_poll_ms = latest_lease_end(0, granted_lease({}));

/** One task runs on w1, which has an open poll; w2 is idle. */
void run_with_open_poll(coordinator_fixture& f) {
    run_one_task(f);
    f.add_worker("w2");
    f.answer_poll("w1", {{only_task, 1, "", 5}});
    f.advance(25);
    REQUIRE_FALSE(f.take_all<send_poll>().empty());
    REQUIRE(f.state.workers.at("w1").poll_outstanding);
}

/** The leader's process doesn't run. Then it finds calls that timed out before it reads answers. */
void stall(coordinator_fixture& f) {
    f.now.monotonic_ms += stall_ms;
    f.now.delay_ms = stall_ms;
    REQUIRE(f.now.monotonic_ms > f.state.workers.at("w1").lease_expiry_bound_ms);
    f.send(poll_failed{"w1", order_failure::no_answer});
    f.send(tick{});
    f.now.delay_ms = 0;
}

} // namespace

// Guards against a leader that takes its own delay for the silence of its workers.
TEST_CASE("a leader that was late hears a worker before it gives its runs up") {
    const bool failed_before = GENERATE(false, true);
    CAPTURE(failed_before);
    coordinator_fixture f;
    run_with_open_poll(f);
    if (failed_before) {
        f.send(poll_failed{"w1", order_failure::no_answer});
        f.advance(300);
        REQUIRE_FALSE(f.take_all<send_poll>().empty());
    }
    stall(f);
    CHECK(f.first_task("a").phase == task_phase::running);
    const auto polls = f.take_all<send_poll>();
    const auto poll =
        std::find_if(polls.begin(), polls.end(), [](const auto& p) { return p.where.id == "w1"; });
    REQUIRE(poll != polls.end());
    CHECK(poll->wait_ms == 0);
    // The lease of a worker whose polls failed while the leader was in time isn't renewed.
    CHECK((poll->lease_ends_at_worker_ms > f.now.monotonic_ms) == !failed_before);
    f.advance(25);
    f.answer_poll("w1", {}, {{1, only_task, 1, end_reason::done, ""}});
    f.advance(300);
    CHECK_FALSE(f.take<send_start>());
    CHECK(f.state.jobs.at("a")->visible_state == job_state::completed);
}

// Guards against a lost worker that is never given up.
TEST_CASE("a worker that doesn't answer the first poll after a delay of the leader is given up") {
    coordinator_fixture f;
    run_with_open_poll(f);
    stall(f);
    const time_ms polled_at_ms = f.now.monotonic_ms;
    f.advance(500);
    f.send(poll_failed{"w1", order_failure::no_answer});
    while (f.first_task("a").run == 1 && f.now.monotonic_ms < polled_at_ms + 10'000) {
        f.advance(25);
    }
    CHECK(f.first_task("a").where.id == "w2");
    // The poll may have renewed the lease.
    CHECK(f.now.monotonic_ms <= polled_at_ms + latest_lease_end_after_poll_ms + 50);
}

TEST_CASE("a leader that is always late gives up the workers that it has lost") {
    coordinator_fixture f;
    run_with_open_poll(f);
    const time_ms lost_at_ms = f.now.monotonic_ms;
    constexpr time_ms late_ms = 600;
    f.now.delay_ms = late_ms;
    f.send(poll_failed{"w1", order_failure::no_answer});
    while (f.first_task("a").run == 1 && f.now.monotonic_ms < lost_at_ms + 60'000) {
        f.advance(late_ms);
        const auto polls = f.take_all<send_poll>();
        f.now.monotonic_ms += late_ms;
        for (const auto& poll : polls) {
            if (poll.where.id == "w1") {
                f.send(poll_failed{"w1", order_failure::no_answer});
            } else {
                f.answer_poll(poll.where.id);
            }
        }
    }
    CHECK(f.first_task("a").run == 2);
    CHECK(f.now.monotonic_ms - lost_at_ms <= latest_lease_end_after_poll_ms + 10 * late_ms);
}

// Guards against runs that a new leader gives up while the answer of their worker is on its way.
TEST_CASE("a new leader doesn't give up the runs of a worker before its first poll has failed") {
    coordinator_fixture f;
    run_with_open_poll(f);
    const job& old = *f.state.jobs.at("a");
    std::vector<stored_job> jobs;
    jobs.push_back({old.spec, encode_progress(old)});
    f.state = recover(f.state.limits, std::move(jobs), f.now, 0);
    f.send(worker_reported{coordinator_fixture::make_report("w1")});
    f.send(worker_reported{coordinator_fixture::make_report("w2")});
    f.advance(25);
    f.advance(10'000);
    CHECK(f.first_task("a").phase == task_phase::unverified);
    const bool answers = GENERATE(true, false);
    if (answers) {
        f.answer_poll("w1", {{only_task, 1, "", 5}});
        CHECK(f.first_task("a").phase == task_phase::running);
    } else {
        f.send(poll_failed{"w1", order_failure::no_answer});
        f.advance(25);
        CHECK(f.first_task("a").phase != task_phase::unverified);
    }
}

} // namespace fulmarworks::scheduler
