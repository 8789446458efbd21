#include "free_ports.h"
#include "job_loader.h"
#include "leader.h"
#include "scheduler/codec.h"
#include "soak_store.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

constexpr time_ms limit_ms = 5000;
constexpr const char* job_id = "00000000000000aa";

scheduler::job_spec small_job() {
    scheduler::job_spec spec;
    spec.id = job_id;
    spec.policy.pool = "pool";
    spec.accepted_wall_ms = wall_now();
    spec.steps.emplace_back();
    return spec;
}

/** Progress of the job, with its only task done. */
std::string completed_progress() {
    scheduler::job j;
    j.spec = small_job();
    j.started = true;
    j.occurrences.push_back(scheduler::make_occurrence(j.spec, 0));
    j.occurrences[0].steps[0].tasks[0].phase = scheduler::task_phase::complete;
    j.occurrences[0].steps[0].complete_count = 1;
    return scheduler::encode_progress(j);
}

/** A leader on the store's stand-in, without workers. */
struct leader_fixture {
    event_loop loop;
    soak::soak_store store{loop};
    http_client http{loop};
    std::string address = "127.0.0.1:" + std::to_string(find_free_ports(1));
    platform::store_client client{http, address};
    decision_log log{"host"};
    metrics counters;
    std::unique_ptr<leader> term;

    leader_fixture() { REQUIRE(store.listen(address)); }

    void store_completed_job() {
        store.put("keyed.submissions", job_id, scheduler::encode_job_spec(small_job()));
        store.put("keyed.progress", job_id, completed_progress());
    }

    void begin_term(const scheduler::settings& limits = {}) {
        begin_term_unready(limits);
        REQUIRE(loop.run_until([this] { return term->ready(); }, limit_ms));
    }

    void begin_term_unready(const scheduler::settings& limits = {}) {
        term = std::make_unique<leader>(
            leader_context{loop, http, client, log, counters, limits, [] { return true; }}, 1,
            scheduler::predecessor::ended, scheduler::guarantees{}, [] {});
    }

    job_answer ask() {
        std::optional<job_answer> answer;
        term->query(job_id, [&](const job_answer& a) { answer = a; });
        REQUIRE(loop.run_until([&] { return answer.has_value(); }, limit_ms));
        return *answer;
    }

    bool in_store(const std::string& topic) { return store.newest_of(topic, job_id).has_value(); }
};

} // namespace

// A job that the leader before has just accepted into its state: the new leader may read its
// progress before it reads the submission.
TEST_CASE("the submission of every job whose progress was read is loaded too") {
    leader_fixture f;
    std::optional<loaded_jobs> found;
    job_loader loader({f.loop, f.client, f.log, [&](loaded_jobs jobs) { found = std::move(jobs); },
                       [](const scheduler::job_spec&) {}});
    constexpr time_ms first_read_ms = 200;
    f.loop.run_until([] { return false; }, first_read_ms);
    f.store_completed_job();
    loader.load_progress();
    REQUIRE(f.loop.run_until([&] { return found.has_value(); }, limit_ms));
    REQUIRE(found->jobs.size() == 1);
    CHECK(found->jobs[0].progress == completed_progress());
    CHECK(found->orphaned_progress.empty());
}

TEST_CASE("an ended job is shown for the retention time and then leaves the store") {
    leader_fixture f;
    f.store_completed_job();
    scheduler::settings limits;
    limits.status_retention_ms = 600;
    f.begin_term(limits);
    CHECK(f.ask().state == "completed");
    CHECK(f.loop.run_until([&] { return !f.in_store("keyed.progress"); }, limit_ms));
    CHECK_FALSE(f.in_store("keyed.submissions"));
    CHECK_FALSE(f.ask().known);
}

// Otherwise a leader that finds the submission alone would run the job again.
TEST_CASE("the progress of an ended job outlives its submission") {
    leader_fixture f;
    f.store_completed_job();
    scheduler::settings limits;
    limits.status_retention_ms = 100;
    f.begin_term(limits);
    bool early = false;
    f.loop.run_until(
        [&] {
            early = early || (!f.in_store("keyed.progress") && f.in_store("keyed.submissions"));
            return !f.in_store("keyed.progress");
        },
        limit_ms);
    CHECK_FALSE(early);
    CHECK_FALSE(f.in_store("keyed.progress"));
}

TEST_CASE("progress that a leader left behind without its submission is removed by the next") {
    leader_fixture f;
    f.store.put("keyed.progress", job_id, completed_progress());
    f.begin_term();
    CHECK(f.loop.run_until([&] { return !f.in_store("keyed.progress"); }, limit_ms));
}

// Found on the bench (vpfg-sched-grown trouble-2, seed 202): jobs that were accepted while a new
// leader had loaded the jobs and not yet the registry were denied.
TEST_CASE("a submission that is read before the registry is kept") {
    leader_fixture f;
    f.store.refuse_topic("keyed.servers");
    f.begin_term_unready();
    constexpr time_ms jobs_loaded_ms = 300;
    f.loop.run_until([] { return false; }, jobs_loaded_ms);
    f.store.put("keyed.submissions", job_id, scheduler::encode_job_spec(small_job()));
    f.loop.run_until([] { return false; }, jobs_loaded_ms);
    f.store.refuse_topic("");
    REQUIRE(f.loop.run_until([&] { return f.term->ready(); }, limit_ms));
    CHECK(f.ask().known);
}
