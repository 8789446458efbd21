#include "coordinator_fixture.h"
#include "simulated_cluster.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr resources one_accelerator{4000, 16'384, 1};
constexpr time_ms run_ms = 2500;
/** A job must not be idle for this long while there is capacity for it. */
constexpr time_ms longest_idle_ms = 3000;
constexpr const char* old_pool = "pool";
constexpr const char* new_pool = "new-pool";

queue_policy policy_in(const std::string& pool) {
    auto policy = coordinator_fixture::make_job("", 1, {}).policy;
    policy.pool = pool;
    return policy;
}

queue_policies version_of(std::uint64_t version, const queue_policy& policy) {
    return {version, {{"queue", policy}}};
}

/** Returns a job that was accepted under version 1, while its queue was in the old pool. */
job_spec make_job(const std::string& id, std::uint32_t tasks, int priority = 1) {
    auto spec = coordinator_fixture::make_job(id, tasks, one_accelerator, priority);
    spec.policy_version = 1;
    spec.steps[0].estimate_ms = run_ms;
    return spec;
}

/** Eight workers of the old pool. Version 1 is in force. */
struct moving_queue {
    static constexpr int workers = 8;
    simulated_cluster cluster{workers, {}, {}};

    moving_queue() { cluster.set_queues(version_of(1, policy_in(old_pool))); }

    void set_pool(int first, int last, const std::string& pool) {
        for (int i = first; i < last; ++i) {
            cluster.set_pool("w" + std::to_string(i), pool);
        }
    }

    [[nodiscard]] job_state state_of(const std::string& id) const {
        return cluster.state().jobs.at(id)->visible_state;
    }

    [[nodiscard]] bool runs(const std::string& id) const {
        return !cluster.worker_of({id, 0, 0, 0}).empty();
    }
};

enum class job_kind { plain, gang, steps, long_running, urgent };

job_spec make_job_of(job_kind kind) {
    auto spec = make_job("job", 2, kind == job_kind::urgent ? 0 : 1);
    step_spec& step = spec.steps[0];
    step.gang = kind == job_kind::gang;
    step.same_rack = step.gang;
    step.long_running = kind == job_kind::long_running;
    if (kind == job_kind::steps) {
        spec.steps.push_back(step);
        spec.steps[1].depends_on = {0};
    }
    return spec;
}

} // namespace

// Guards against jobs that are accepted and never start (review/7): they waited for the pool that
// their queue had when they were accepted.
TEST_CASE("accepted jobs of every kind start in the pool to which their queue moves") {
    const auto kind = GENERATE(job_kind::plain, job_kind::gang, job_kind::steps,
                               job_kind::long_running, job_kind::urgent);
    // Between the change and the start, the leader stays; or changes, and the next one knows the
    // new configuration, or none.
    const auto next_version = GENERATE(0, 1, 2);
    moving_queue q;
    q.set_pool(0, moving_queue::workers, new_pool);
    q.cluster.submit(make_job_of(kind));
    q.cluster.run_for(2000);
    REQUIRE_FALSE(q.runs("job"));
    auto moved = make_job_of(kind).policy;
    moved.pool = new_pool;
    q.cluster.set_queues(version_of(2, moved));
    if (next_version != 0) {
        q.cluster.run_for(20);
        q.cluster.change_leader();
        q.cluster.set_queues(version_of(static_cast<std::uint64_t>(next_version),
                                        next_version == 1 ? make_job_of(kind).policy : moved));
    }
    q.cluster.run_for(longest_idle_ms);
    CHECK(q.cluster.start_count({"job", 0, 0, 0}) > 0);
    q.cluster.run_for(2 * run_ms);
    if (kind == job_kind::long_running) {
        CHECK(q.runs("job"));
    } else {
        CHECK(q.state_of("job") == job_state::completed);
    }
}

TEST_CASE("runs stay in the old pool; those that are lost with it start again in the new one") {
    moving_queue q;
    q.set_pool(4, moving_queue::workers, new_pool);
    q.cluster.submit(make_job("job", 4));
    q.cluster.run_for(500);
    REQUIRE(q.runs("job"));
    q.cluster.set_queues(version_of(2, policy_in(new_pool)));
    SECTION("the pool stays") {
        q.cluster.run_for(run_ms);
        CHECK(q.state_of("job") == job_state::completed);
        CHECK(q.cluster.stop_count("job") == 0);
        CHECK(q.cluster.start_count({"job", 0, 0, 0}) == 1);
    }
    SECTION("all its workers are lost for good") {
        q.cluster.set_crash_outcome(crash_outcome::lost);
        for (int i = 0; i < 4; ++i) {
            q.cluster.crash_worker("w" + std::to_string(i));
        }
        constexpr time_ms lease_over_ms = 9000;
        q.cluster.run_for(lease_over_ms + run_ms);
        CHECK(q.state_of("job") == job_state::completed);
    }
}

TEST_CASE("jobs that were accepted in between follow a queue that moves back and forth") {
    moving_queue q;
    for (std::uint64_t version = 2; version <= 5; ++version) {
        const auto policy = policy_in(version % 2 == 0 ? "empty-pool" : old_pool);
        auto spec = make_job("job" + std::to_string(version), 1);
        spec.policy = policy;
        spec.policy_version = version;
        // Another host accepts a job under a version that the leader gets to know only then.
        q.cluster.submit(spec);
        q.cluster.set_queues(version_of(version, policy));
        q.cluster.run_for(250);
    }
    q.cluster.run_for(longest_idle_ms + run_ms);
    for (const char* id : {"job2", "job3", "job4", "job5"}) {
        INFO(id);
        CHECK(q.state_of(id) == job_state::completed);
    }
}

// A leader that knows an older version must not send later work to the old pool (rule CONFIG of the
// users' bench).
TEST_CASE("a job keeps the policy under which it was accepted until the leader knows a newer one") {
    moving_queue q;
    auto spec = make_job("job", 1);
    spec.policy.pool = new_pool;
    spec.policy_version = 3;
    q.cluster.submit(spec);
    q.cluster.set_queues(version_of(2, policy_in(old_pool)));
    q.cluster.run_for(longest_idle_ms);
    CHECK_FALSE(q.runs("job"));
    q.cluster.set_queues(version_of(4, policy_in(old_pool)));
    q.cluster.run_for(500);
    CHECK(q.runs("job"));
}

TEST_CASE("the jobs of a removed queue keep its last policy, also under the next leader") {
    moving_queue q;
    q.set_pool(0, moving_queue::workers, "third-pool");
    q.cluster.submit(make_job("job", 1));
    q.cluster.run_for(500);
    q.cluster.set_queues(version_of(2, policy_in(new_pool)));
    q.cluster.set_queues({3, {}});
    q.cluster.run_for(500);
    q.cluster.change_leader();
    q.cluster.set_queues({3, {}});
    q.set_pool(0, 2, new_pool);
    q.cluster.run_for(500);
    CHECK(q.runs("job"));
}

// The rack of a job's data may be in the old pool only. The job would have waited for it, for most
// of the time by which its run takes longer elsewhere.
TEST_CASE("a job doesn't wait for a rack of its data that has no worker of the new pool") {
    coordinator_fixture f;
    f.add_worker("w1", "r1");
    f.add_worker("w2", "r2");
    auto report = f.make_report("w3", "r3");
    report.pool = new_pool;
    f.send(worker_reported{report});
    f.send(tick{});
    f.answer_poll("w3");
    auto other = f.make_job("other", 2, {4000, 16'384, 8});
    other.queue = "other-queue";
    f.send(job_submitted{other});
    REQUIRE(f.take_all<send_start>().size() == 2);
    auto spec = make_job("job", 1);
    spec.steps[0].data_rack = "r1";
    spec.steps[0].estimate_ms = 20'000;
    f.send(job_submitted{spec});
    f.send(queues_changed{version_of(2, policy_in(new_pool))});
    f.advance(20);
    const auto start = f.take<send_start>();
    REQUIRE(start);
    CHECK(start->where.id == "w3");
}

TEST_CASE(
    "an accepted job becomes urgent with its queue, and no longer is when that changes back") {
    coordinator_fixture f;
    f.add_worker("w1");
    auto other = f.make_job("other", 1, {4000, 16'384, 8}, 3);
    other.queue = "other-queue";
    REQUIRE(f.run_job(other));
    f.send(job_submitted{make_job("job", 1)});
    f.advance(1000);
    REQUIRE_FALSE(f.take<send_stop>());
    auto urgent = policy_in(old_pool);
    urgent.priority = 0;
    f.send(queues_changed{version_of(2, urgent)});
    f.advance(100);
    CHECK(f.take<send_stop>());
    CHECK(f.state.urgent_demand["account"] == 1);
    f.send(queues_changed{version_of(3, policy_in(old_pool))});
    CHECK(f.state.urgent_demand["account"] == 0);
    CHECK(f.state.waiting_urgent_jobs.empty());
    f.send(cancel_requested{"job", 1});
    CHECK(f.state.urgent_demand["account"] == 0);
}

// No start may follow as many failed runs as the queue allows (rule BUDGET of the users' bench).
TEST_CASE("a queue's maximum number of attempts holds for the tasks that are accepted already") {
    coordinator_fixture f;
    f.add_worker("w1");
    const bool gang = GENERATE(false, true);
    auto spec = make_job("a", 1);
    spec.policy.max_attempts = 4;
    spec.steps[0].gang = gang;
    const auto fail = [&](std::uint32_t run) {
        f.answer_poll("w1", {}, {{run, {"a", 0, 0, 0}, run, end_reason::failed, ""}});
    };
    const auto limit_attempts = [&](std::uint64_t version, std::uint32_t most) {
        auto policy = spec.policy;
        policy.max_attempts = most;
        f.send(queues_changed{version_of(version, policy)});
    };
    REQUIRE(f.run_job(spec));
    f.advance(50);
    fail(1);
    f.advance(7000); // longer than a worker is left out after failures
    auto second = f.take<send_start>();
    REQUIRE(second);
    f.accept_start(*second);
    SECTION("a run that is under way may complete") {
        limit_attempts(2, 1);
        CHECK_FALSE(f.state.jobs.at("a")->ended());
        f.answer_poll("w1", {}, {{2, {"a", 0, 0, 0}, 2, end_reason::done, ""}});
        CHECK(f.state.jobs.at("a")->visible_state == job_state::completed);
    }
    SECTION("a run that was under way isn't the reason to start one more") {
        limit_attempts(2, 1);
        f.answer_poll("w1", {}, {{2, {"a", 0, 0, 0}, 2, end_reason::lease_expired, ""}});
        CHECK(f.state.jobs.at("a")->visible_state == job_state::failed);
    }
    SECTION("nor is it preempted, as its job would fail") {
        limit_attempts(2, 1);
        auto urgent = f.make_job("urgent", 1, {4000, 16'384, 8}, 0);
        urgent.queue = "other-queue";
        f.send(job_submitted{urgent});
        f.advance(500);
        CHECK_FALSE(f.take<send_stop>());
    }
    SECTION("a task that waits has failed") {
        fail(2);
        limit_attempts(2, 2);
        CHECK(f.state.jobs.at("a")->visible_state == job_state::failed);
        f.advance(7000);
        CHECK_FALSE(f.take<send_start>());
    }
    SECTION("more attempts than before are used") {
        limit_attempts(2, 3);
        limit_attempts(3, 5);
        for (std::uint32_t run = 2; run <= 4; ++run) {
            fail(run);
            f.advance(7000);
            auto next = f.take<send_start>();
            REQUIRE(next);
            f.accept_start(*next);
        }
        fail(5);
        CHECK(f.state.jobs.at("a")->visible_state == job_state::failed);
    }
}

// Each version made the leader plan all waiting jobs anew, three times a second in a series of
// changes.
TEST_CASE("a version that changes no accepted job's policy neither stores nor plans anything") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.send(job_submitted{f.make_job("waits", 1, {4000, 16'384, 9})});
    f.send(tick{});
    f.pending_effects.clear();
    f.confirm_stores = false;
    const auto planned = f.state.pacing.groups_considered;
    auto policy = policy_in(old_pool);
    f.send(queues_changed{version_of(2, policy)});
    policy.priority = 5;
    f.send(queues_changed{{3, {{"other-queue", policy}}}});
    f.send(queues_changed{version_of(2, policy)}); // older than the one in force
    CHECK(f.state.pacing.groups_considered == planned);
    CHECK(f.pending_effects.empty());
    f.send(queues_changed{version_of(4, policy)});
    CHECK(f.state.pacing.groups_considered > planned);
    CHECK(f.take<store_records>());
}
