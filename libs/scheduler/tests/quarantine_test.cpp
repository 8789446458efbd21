#include "coordinator_fixture.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

struct quarantine_fixture : coordinator_fixture {
    std::map<std::string, std::uint64_t> end_counts;

    quarantine_fixture() {
        add_worker("w1");
        for (const char* job : {"a", "b"}) {
            REQUIRE(run_job(make_job(job, 1, {1000, 1000, 1})));
        }
        add_worker("w2", "r2");
    }

    [[nodiscard]] bool is_quarantined(const std::string& worker) const {
        return state.workers.at(worker).quarantined_until_ms > now.monotonic_ms;
    }

    /** Lets the runs of both jobs fail on a worker, and accepts the next starts. */
    void fail_both_on(const std::string& worker) {
        std::vector<ended_run> ended;
        for (const char* job : {"a", "b"}) {
            REQUIRE(first_task(job).where.id == worker);
            ended.push_back({++end_counts[worker],
                             {job, 0, 0, 0},
                             first_task(job).run,
                             end_reason::failed,
                             ""});
        }
        answer_poll(worker, {}, ended);
        for (const auto& start : take_all<send_start>()) {
            accept_start(start);
        }
    }

    /** Lets the runs of a worker make no progress until they are stopped. */
    void stall_both_on(const std::string& worker) {
        std::vector<active_run> active;
        for (const char* job : {"a", "b"}) {
            REQUIRE(first_task(job).where.id == worker);
            active.push_back({{job, 0, 0, 0}, first_task(job).run, "", 10});
        }
        for (int i = 0; i < 40; ++i) {
            advance(100);
            answer_poll(worker, active);
        }
        std::vector<ended_run> ended;
        for (const auto& run : active) {
            CHECK(first_task(run.task.job).phase == task_phase::stopping);
            ended.push_back({++end_counts[worker], run.task, run.run, end_reason::stopped, ""});
        }
        answer_poll(worker, {}, ended);
        for (const auto& start : take_all<send_start>()) {
            accept_start(start);
        }
    }
};

} // namespace

TEST_CASE("a worker on which several jobs fail for the first time gets no new tasks for a time") {
    quarantine_fixture f;
    f.fail_both_on("w1");
    CHECK(f.is_quarantined("w1"));
}

TEST_CASE("jobs that fail wherever they run put no second worker into quarantine") {
    quarantine_fixture f;
    f.fail_both_on("w1");
    f.fail_both_on("w2");
    CHECK_FALSE(f.is_quarantined("w2"));
}

TEST_CASE("tasks that stall wherever they run put no second worker into quarantine") {
    quarantine_fixture f;
    f.stall_both_on("w1");
    CHECK(f.is_quarantined("w1"));
    f.stall_both_on("w2");
    CHECK_FALSE(f.is_quarantined("w2"));
}
