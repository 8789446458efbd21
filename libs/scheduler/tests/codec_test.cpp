#include "base/json.h"
#include "coordinator_fixture.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

job make_started_job(std::uint32_t tasks) {
    job j;
    j.spec = coordinator_fixture::make_job("a", tasks, {1000, 1000, 1});
    j.started = true;
    j.occurrences.push_back(make_occurrence(j.spec, 0));
    return j;
}

std::vector<task>& tasks_of(job& j) {
    return j.occurrences.at(0).steps.at(0).tasks;
}

job restore(const job& j) {
    job restored;
    restored.spec = j.spec;
    REQUIRE(decode_progress(encode_progress(j), restored));
    return restored;
}

std::string pack(const json& j) {
    const auto bytes = json::to_msgpack(j);
    return {bytes.begin(), bytes.end()};
}

} // namespace

TEST_CASE("progress keeps the worker, run, failures and checkpoint of each task") {
    job j = make_started_job(5);
    auto& tasks = tasks_of(j);
    tasks[0].phase = task_phase::running;
    tasks[0].run = 2;
    tasks[0].where = {"w1", 100};
    tasks[1] = tasks[0];
    tasks[1].where = {"w1", 101}; // another incarnation
    tasks[1].checkpoint = "00aa";
    tasks[1].failures = 1;
    tasks[1].failed_on = "w2";
    tasks[2].phase = task_phase::complete;
    tasks[3].run = 4; // idle again
    tasks[3].failed_on = "w1";
    job restored = restore(j);
    const auto& read = tasks_of(restored);
    CHECK(read[0].phase == task_phase::unverified);
    CHECK(read[0].run == 2);
    CHECK(read[0].where == worker_incarnation{"w1", 100});
    CHECK(read[0].failed_on.empty());
    CHECK(read[1].where == worker_incarnation{"w1", 101});
    CHECK(read[1].checkpoint == "00aa");
    CHECK(read[1].failures == 1);
    CHECK(read[1].failed_on == "w2");
    CHECK(read[2].phase == task_phase::complete);
    CHECK(read[3].phase == task_phase::idle);
    CHECK(read[3].run == 4);
    CHECK(read[3].failed_on == "w1");
    CHECK(read[3].where.id.empty());
    CHECK(read[4].phase == task_phase::idle);
    CHECK(read[4].run == 0);
    CHECK(restored.occurrences[0].steps[0].complete_count == 1);
}

// A job's record is written at each change of one of its tasks, so its size decides what a leader
// sends to the store.
TEST_CASE("progress keeps the workers lost under a task, silent ones apart") {
    job j = make_started_job(2);
    tasks_of(j)[0].run = 3;
    tasks_of(j)[0].losses = {3, 2, 1, 1};
    tasks_of(j)[1].run = 1;
    job restored = restore(j);
    const loss_count& losses = tasks_of(restored)[0].losses;
    CHECK(losses.crashes == 3);
    CHECK(losses.start_crashes == 2);
    CHECK(losses.witnessed_crashes == 1);
    CHECK(losses.unresolved == 1);
    CHECK(tasks_of(restored)[1].losses.crashes == 0);
}

TEST_CASE("progress keeps a policy that has changed, unless the submission has a newer one") {
    job j = make_job(make_started_job(1).spec);
    j.occurrences.push_back(make_occurrence(j.spec, 0));
    const std::size_t size_before = encode_progress(j).size();
    j.policy = {"other", 0, 7, 1.5, 250};
    j.policy_version = 4;
    CHECK(encode_progress(j).size() > size_before);
    job restored = make_job(j.spec);
    REQUIRE(decode_progress(encode_progress(j), restored));
    CHECK(restored.policy == j.policy);
    CHECK(restored.policy_version == 4);
    auto repeated = j.spec;
    repeated.policy_version = 5;
    restored = make_job(repeated);
    REQUIRE(decode_progress(encode_progress(j), restored));
    CHECK(restored.policy == repeated.policy);
    CHECK(restored.policy_version == 5);
}

TEST_CASE("a submission keeps the version of its policy; earlier releases wrote none") {
    auto spec = coordinator_fixture::make_job("a", 1, {1000, 1000, 1});
    spec.policy_version = 12;
    const std::string record = encode_job_spec(spec);
    CHECK(decode_job_spec(record).value().policy_version == 12);
    json earlier = json::from_msgpack(record);
    earlier.erase(earlier.size() - 1);
    const auto decoded = decode_job_spec(pack(earlier));
    REQUIRE(decoded);
    CHECK(decoded.value().policy_version == 0);
    CHECK(decoded.value().policy == spec.policy);
}

TEST_CASE("each further task on the same worker adds a few bytes to a progress record") {
    constexpr std::size_t allowed_bytes_per_task = 6;
    const auto size_of = [](std::uint32_t count) {
        job j = make_started_job(count);
        for (auto& t : tasks_of(j)) {
            t.phase = task_phase::running;
            t.run = 3;
            t.where = {"i-1a132e5624", 1'792'977'126'284};
        }
        return encode_progress(j).size();
    };
    CHECK(size_of(80) - size_of(20) <= 60 * allowed_bytes_per_task);
}

TEST_CASE("progress of the earlier layout is read") {
    job j = make_started_job(3);
    const json tasks = json::array(
        {json::array({1, 2, 1, "00aa", "w2", "w1", 100}), json::array({0, 3, 0, "", ""}), 1});
    const auto record = pack(json::array(
        {1, false, false, true, json::array({json::array({json::array({0, tasks})})})}));
    job restored;
    restored.spec = j.spec;
    REQUIRE(decode_progress(record, restored));
    const auto& read = tasks_of(restored);
    CHECK(read[0].phase == task_phase::unverified);
    CHECK(read[0].where == worker_incarnation{"w1", 100});
    CHECK(read[0].failed_on == "w2");
    CHECK(read[1].phase == task_phase::idle);
    CHECK(read[1].run == 3);
    CHECK(read[2].phase == task_phase::complete);
}

TEST_CASE("progress with a worker that its table lacks, or of an unknown layout, is an error") {
    for (const int worker : {1, -2, 1000}) {
        const json tasks = json::array({json::array({1, worker})});
        const auto record = pack(json::array({2, false, false, true,
                                              json::array({json::array({json::array({0, tasks})})}),
                                              json::array({json::array({"w1", 100})})}));
        job restored;
        restored.spec = coordinator_fixture::make_job("a", 1, {1000, 1000, 1});
        CHECK_FALSE(decode_progress(record, restored));
    }
    job restored;
    restored.spec = coordinator_fixture::make_job("a", 1, {1000, 1000, 1});
    CHECK_FALSE(
        decode_progress(pack(json::array({3, false, false, true, json::array()})), restored));
}

TEST_CASE("a submission keeps the host that accepted it, and one without it is read") {
    job_spec spec = coordinator_fixture::make_job("a", 1, {1000, 1000, 1});
    spec.accepted_by = "10.0.0.1:7000";
    const std::string record = encode_job_spec(spec);
    const auto decoded = decode_job_spec(record);
    REQUIRE(decoded);
    CHECK(decoded.value().accepted_by == spec.accepted_by);
    json earlier = json::from_msgpack(record);
    earlier.erase(earlier.size() - 1); // the version of the policy, which came later
    earlier.erase(earlier.size() - 1);
    const auto without = decode_job_spec(pack(earlier));
    REQUIRE(without);
    CHECK(without.value().accepted_by.empty());
}
