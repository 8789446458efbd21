#include "free_ports.h"
#include "job_loader.h"
#include "leader.h"
#include "scheduler/codec.h"
#include "soak_store.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

constexpr time_ms wait_limit_ms = 5000;
constexpr double link_mbps = 1000;
constexpr const char* job_id = "00000000000000aa";

scheduler::job_spec small_job() {
    scheduler::job_spec spec;
    spec.id = job_id;
    spec.policy.pool = "pool";
    spec.accepted_wall_ms = wall_now();
    spec.steps.emplace_back();
    return spec;
}

/** Returns the encoded progress of small_job() with its only task complete. */
std::string completed_progress() {
    scheduler::job j;
    j.spec = small_job();
    j.started = true;
    j.occurrences.push_back(scheduler::make_occurrence(j.spec, 0));
    j.occurrences[0].steps[0].tasks[0].phase = scheduler::task_phase::complete;
    j.occurrences[0].steps[0].complete_count = 1;
    return scheduler::encode_progress(j);
}

/** A leader on the stand-in for the store, without workers. */
struct leader_fixture {
    event_loop loop;
    soak::soak_store store{loop};
    http_client http{loop};
    std::string address = "127.0.0.1:" + std::to_string(find_free_ports(1));
    platform::store_client client{http, address};
    decision_log log{"host"};
    metrics counters;
    peers peer_hosts{peer_context{loop, http, client, log, counters, "127.0.0.1:1",
                                  [](std::uint64_t) { return std::nullopt; },
                                  [](const store_view&, time_ms) {}, [] { return 0; }}};
    std::uint64_t epoch = 1;
    operator_requests requests;
    std::unique_ptr<leader> term;

    leader_fixture() { REQUIRE(store.listen(address)); }

    void store_completed_job() {
        store.put("keyed.submissions", job_id, scheduler::encode_job_spec(small_job()));
        store.put("keyed.progress", job_id, completed_progress());
    }

    void start_leader(const scheduler::settings& limits = {}) {
        start_leader_unready(limits);
        REQUIRE(loop.run_until([this] { return term->ready(); }, wait_limit_ms));
    }

    void start_leader_unready(const scheduler::settings& limits = {}) {
        term = std::make_unique<leader>(leader_context{loop, http, client, log, counters,
                                                       peer_hosts, link_mbps, limits,
                                                       [](time_ms) { return true; }},
                                        epoch, 0, requests, [] {});
    }

    [[nodiscard]] bool uses_pool(const std::string& pool) const {
        const auto found = term->state()->jobs.find(job_id);
        return found != term->state()->jobs.end() && found->second->policy.pool == pool;
    }

    job_answer query_job() {
        std::optional<job_answer> answer;
        term->query(job_id, [&](const job_answer& a) { answer = a; });
        REQUIRE(loop.run_until([&] { return answer.has_value(); }, wait_limit_ms));
        return *answer;
    }

    bool is_stored(const std::string& topic) { return store.newest_of(topic, job_id).has_value(); }
};

} // namespace

// The previous leader stores the progress of a job that it has just accepted. The new leader may
// read that progress before it reads the submission.
TEST_CASE("a job whose progress is read before its submission is loaded with both") {
    leader_fixture f;
    std::optional<loaded_jobs> found;
    job_loader loader({f.loop, f.client, f.log, std::make_shared<read_limiter>(2),
                       [&](loaded_jobs jobs) { found = std::move(jobs); },
                       [](const scheduler::job_spec&) {}});
    constexpr time_ms initial_read_ms = 200;
    f.loop.run_until([] { return false; }, initial_read_ms);
    f.store_completed_job();
    loader.load_progress();
    REQUIRE(f.loop.run_until([&] { return found.has_value(); }, wait_limit_ms));
    REQUIRE(found->jobs.size() == 1);
    CHECK(found->jobs[0].progress == completed_progress());
    CHECK(found->orphaned_progress.empty());
}

TEST_CASE("an ended job remains visible for the retention time, then is removed from the store") {
    leader_fixture f;
    f.store_completed_job();
    scheduler::settings limits;
    limits.status_retention_ms = 600;
    f.start_leader(limits);
    CHECK(f.query_job().state == "completed");
    CHECK(f.loop.run_until([&] { return !f.is_stored("keyed.progress"); }, wait_limit_ms));
    CHECK_FALSE(f.is_stored("keyed.submissions"));
    CHECK_FALSE(f.query_job().known);
}

// A leader that finds only the submission would run the job again.
TEST_CASE("the progress of an ended job is removed no earlier than its submission") {
    leader_fixture f;
    f.store_completed_job();
    scheduler::settings limits;
    limits.status_retention_ms = 100;
    f.start_leader(limits);
    bool removed_early = false;
    f.loop.run_until(
        [&] {
            removed_early = removed_early ||
                            (!f.is_stored("keyed.progress") && f.is_stored("keyed.submissions"));
            return !f.is_stored("keyed.progress");
        },
        wait_limit_ms);
    CHECK_FALSE(removed_early);
    CHECK_FALSE(f.is_stored("keyed.progress"));
}

TEST_CASE("a new leader removes progress that has no submission") {
    leader_fixture f;
    f.store.put("keyed.progress", job_id, completed_progress());
    f.start_leader();
    CHECK(f.loop.run_until([&] { return !f.is_stored("keyed.progress"); }, wait_limit_ms));
}

// A new leader reported jobs as unknown if they were accepted after it had loaded the jobs but
// before it had loaded the worker registry. Found on vpfg-sched-grown trouble-2, seed 202.
TEST_CASE("a submission that is read before the worker registry is kept") {
    leader_fixture f;
    f.store.refuse_topic("keyed.servers");
    f.start_leader_unready();
    constexpr time_ms jobs_loaded_ms = 300;
    f.loop.run_until([] { return false; }, jobs_loaded_ms);
    f.store.put("keyed.submissions", job_id, scheduler::encode_job_spec(small_job()));
    f.loop.run_until([] { return false; }, jobs_loaded_ms);
    f.store.refuse_topic("");
    REQUIRE(f.loop.run_until([&] { return f.term->ready(); }, wait_limit_ms));
    CHECK(f.query_job().known);
}

// The first read of the run times comes after a second. A leader that waited for it, or for a store
// that refuses it, would delay the starts of all jobs.
TEST_CASE("a leader reads learned run times after it is ready, and only if they are in use") {
    run_times::run_time_model earlier;
    earlier.add({{"queue", "account", 1}, 0, 1000, 1}, boottime_now());
    constexpr time_ms first_read_ms = 2000;
    for (const bool learned : {true, false}) {
        leader_fixture f;
        for (const auto& r : earlier.take_changed(3, boottime_now())) {
            f.store.put("keyed.run-times", r.key, r.value);
        }
        earlier.add({{"queue", "account", 1}, 0, 1000, 1}, boottime_now());
        f.store.refuse_topic("keyed.run-times");
        scheduler::settings limits;
        limits.learned_run_times = learned;
        f.start_leader(limits);
        const auto loaded = [&] {
            return f.counters.serialize().find("run_time_classes 3") != std::string::npos;
        };
        CHECK_FALSE(loaded());
        f.store.refuse_topic("");
        CHECK(f.loop.run_until(loaded, first_read_ms + 1000) == learned);
    }
}

// A new leader may know only an older version than the leader before it.
TEST_CASE(
    "a leader moves accepted jobs with their queue, and its successor doesn't move them back") {
    leader_fixture f;
    auto spec = small_job();
    spec.queue = "queue";
    f.store.put("keyed.submissions", job_id, scheduler::encode_job_spec(spec));
    const auto in_pool = [&](std::uint64_t version, const char* pool) {
        auto policy = spec.policy;
        policy.pool = pool;
        return scheduler::queue_policies{version, {{"queue", policy}}};
    };
    f.requests.queues = in_pool(1, "pool");
    f.start_leader();
    REQUIRE(f.loop.run_until([&] { return f.uses_pool("pool"); }, wait_limit_ms));
    f.requests.queues = in_pool(2, "other-pool");
    f.term->set_requests(f.requests);
    CHECK(f.uses_pool("other-pool"));
    REQUIRE(f.loop.run_until([&] { return f.is_stored("keyed.progress"); }, wait_limit_ms));
    f.requests.queues = in_pool(1, "pool");
    ++f.epoch;
    f.start_leader();
    CHECK(f.uses_pool("other-pool"));
    f.requests.queues = in_pool(3, "third-pool");
    ++f.epoch;
    f.start_leader();
    CHECK(f.uses_pool("third-pool"));
}
