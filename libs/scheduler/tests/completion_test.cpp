#include "coordinator_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace fulmarworks::scheduler {

namespace {

constexpr std::uint32_t task_count = 2;

/**
 * A job of two tasks, one a worker. Its first runs, on w1 and w2, are given up because these don't
 * answer; then the job runs again on w3 and w4.
 */
class second_run {
public:
    explicit second_run(bool gang) {
        for (const char* id : {"w1", "w2"}) {
            f.add_worker(id);
        }
        auto spec = coordinator_fixture::make_job("a", task_count, {1000, 1000, 5});
        spec.steps[0].gang = gang;
        f.send(job_submitted{spec});
        accept_starts();
        for (const char* id : {"w1", "w2"}) {
            auto report = coordinator_fixture::make_report(id);
            report.draining = true; // takes no other start
            f.send(worker_reported{report});
            f.send(poll_failed{id, order_failure::no_answer});
        }
        f.advance(5000);
        REQUIRE(task_at(0).phase == task_phase::idle);
        REQUIRE(task_at(1).phase == task_phase::idle);
    }

    /** Lets the second runs of both tasks reach a phase. */
    void reach(task_phase phase) {
        if (phase == task_phase::idle) {
            return;
        }
        f.confirm_stores = phase != task_phase::placed;
        f.add_worker("w3");
        f.add_worker("w4");
        f.advance(300);
        if (phase == task_phase::running) {
            accept_starts();
        } else if (phase == task_phase::stopping) {
            for (const auto& order : f.take_all<send_start>()) {
                f.send(start_answered{order.where.id, order.task, order.run, false,
                                      order_failure::superseded});
            }
        } else if (phase == task_phase::unverified) {
            change_leader();
        }
        REQUIRE(task_at(0).phase == phase);
        REQUIRE(task_at(0).run == 2);
        f.pending_effects.clear();
    }

    /** The worker of a task's first run lists its end. */
    void list_end(std::uint32_t index, end_reason reason = end_reason::done) {
        const std::string id = "w" + std::to_string(index + 1);
        f.answer_poll(id, {}, {{1, {"a", 0, 0, index}, 1, reason, ""}});
    }

    /** The stops of the second runs take effect, and later polls list nothing. */
    void finish_second_runs() {
        f.confirm_stores = true;
        f.send(records_stored{});
        for (int i = 0; i < 20; ++i) {
            f.advance(100);
            for (const auto& order : f.take_all<send_stop>()) {
                f.send(stop_answered{order.where.id, order.task, order.run, true, {}});
            }
            f.advance(100);
            for (const char* id : {"w1", "w2", "w3", "w4"}) {
                f.answer_poll(id);
            }
        }
    }

    task& task_at(std::uint32_t i) {
        return f.state.jobs.at("a")->occurrences[0].steps[0].tasks[i];
    }

    coordinator_fixture f;

private:
    void accept_starts() {
        for (const auto& order : f.take_all<send_start>()) {
            f.accept_start(order);
        }
    }

    void change_leader() {
        const job& old = *f.state.jobs.at("a");
        stored_job stored{old.spec, encode_progress(old)};
        std::vector<stored_job> jobs;
        jobs.push_back(std::move(stored));
        f.state = recover(f.state.limits, std::move(jobs), f.now, 0);
        for (const char* id : {"w1", "w2", "w3", "w4"}) {
            auto report = coordinator_fixture::make_report(id);
            report.draining = id[1] <= '2';
            f.send(worker_reported{report});
        }
    }
};

} // namespace

// Guards against runs that start again, or go on, after their task has ended as done: an end that
// matches no current run was dropped and then confirmed to its worker.
TEST_CASE("a task is complete once a run of it is done, whatever its newer run is doing") {
    const bool gang = GENERATE(false, true);
    const auto phase = GENERATE(task_phase::idle, task_phase::placed, task_phase::ordered,
                                task_phase::running, task_phase::stopping, task_phase::unverified);
    CAPTURE(gang, static_cast<int>(phase));
    second_run run(gang);
    run.reach(phase);
    run.list_end(0);
    if (!gang) {
        run.list_end(1);
    }
    run.finish_second_runs();
    CHECK_FALSE(run.f.take<send_start>());
    CHECK(run.task_at(0).phase == task_phase::complete);
    CHECK(run.task_at(1).phase == task_phase::complete);
    CHECK(run.f.state.jobs.at("a")->visible_state == job_state::completed);
    for (const auto& [id, w] : run.f.state.workers) {
        CHECK(w.assigned.empty());
    }
}

// Guards against a confirmed end of which nothing is stored.
TEST_CASE("the end of an earlier run is confirmed only after its task is stored as complete") {
    const bool gang = GENERATE(false, true);
    CAPTURE(gang);
    second_run run(gang);
    run.reach(task_phase::running);
    run.f.confirm_stores = false;
    run.list_end(0);
    const auto batch = run.f.take<store_records>();
    REQUIRE(batch);
    job restored;
    restored.spec = run.f.state.jobs.at("a")->spec;
    REQUIRE(decode_progress(batch->records.at(0).value, restored));
    CHECK(restored.occurrences[0].steps[0].tasks[0].phase == task_phase::complete);
    CHECK((restored.occurrences[0].steps[0].tasks[1].phase == task_phase::complete) == gang);
    CHECK(run.f.state.workers.at("w1").stored_sequence == 0);
    run.f.send(records_stored{});
    CHECK(run.f.state.workers.at("w1").stored_sequence == 1);
}

// Guards against a job that is shown as failed because the needless second run of a task that is
// done failed, too.
TEST_CASE("a failure of a needless run doesn't count") {
    second_run run(false);
    run.reach(task_phase::running);
    run.list_end(0);
    const std::string where = run.task_at(0).where.id;
    REQUIRE(run.task_at(0).phase == task_phase::stopping);
    run.f.answer_poll(where, {}, {{1, {"a", 0, 0, 0}, 2, end_reason::failed, ""}});
    CHECK(run.task_at(0).phase == task_phase::complete);
    CHECK(run.task_at(0).failures == 0);
}

// Guards against a task that counts as done because an earlier run of it ended otherwise.
TEST_CASE("an end that isn't a success doesn't touch a newer run") {
    const auto reason = GENERATE(end_reason::failed, end_reason::stopped, end_reason::lease_expired,
                                 end_reason::gang_broken);
    const bool gang = GENERATE(false, true);
    CAPTURE(gang, static_cast<int>(reason));
    second_run run(gang);
    run.reach(task_phase::running);
    run.list_end(0, reason);
    CHECK(run.task_at(0).phase == task_phase::running);
    CHECK(run.task_at(0).run == 2);
    CHECK_FALSE(run.f.take<send_stop>());
}

// Guards against a task that lasts and counts as complete after a late end.
TEST_CASE("a late end of a task that lasts doesn't stop its newer run") {
    second_run run(false);
    run.f.state.jobs.at("a")->spec.steps[0].long_running = true;
    run.reach(task_phase::running);
    run.list_end(0);
    CHECK(run.task_at(0).phase == task_phase::running);
}

} // namespace fulmarworks::scheduler
