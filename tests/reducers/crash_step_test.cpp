#include "history_checker.h"
#include "random_run.h"
#include "virtual_fleet.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;

namespace {

constexpr time_ms step_ms = 3;
constexpr time_ms last_failure_ms = 300;
constexpr time_ms reply_limit_ms = 120000;

job_request make_request(const std::string& id, const std::string& job_class, int tasks,
                         int accelerators) {
    job_request r;
    r.client_account = "a2";
    r.request_id = id;
    r.job_class = job_class;
    r.tasks = tasks;
    r.shape = {accelerators, 1, 1};
    r.payload = R"({"run_ms":150})";
    return r;
}

enum class failed_component { submitting_instance, rack_owner, worker };

/** Injects a failure `at` ms after a submission; returns the violations, one per line. */
std::string run_with_failure(const job_request& request, failed_component component, time_ms at) {
    virtual_fleet fleet(7, 3, small_configuration);
    REQUIRE(fleet.set_up());
    const std::string id = job_id_of(request.client_account, request.request_id);
    fleet.submit(0, request, 10000);
    fleet.run_for(at);
    const job* j = find_job(fleet.state(1).ledger, id);
    const bool placed = j != nullptr && !j->members.empty();
    const host_index h = placed ? j->members.front().where.host : 0;
    const ledger_state& l = fleet.state(1).ledger;
    int crashed = -1;
    switch (component) {
    case failed_component::submitting_instance: crashed = 0; break;
    case failed_component::rack_owner:
        crashed = l.rack_owners[l.hosts.hosts()[h].rack].instance.back() - '0';
        break;
    case failed_component::worker: fleet.restart_worker(l.hosts.hosts()[h].name); break;
    }
    if (crashed >= 0) {
        fleet.crash_instance(crashed);
    }
    // The caller retries with the same request id at an instance that is running.
    const int other = crashed == 1 ? 2 : 1;
    const auto token = fleet.submit(other, request, 60000);
    fleet.run_until([&] { return fleet.replies().contains(token); }, reply_limit_ms);
    if (crashed >= 0) {
        fleet.restart_instance(crashed);
    }
    fleet.run_for(5000);
    std::string violations;
    for (const auto& line : check_history(fleet.fold_log(), fleet.history())) {
        violations += line + "\n";
    }
    return violations;
}

void check_failure_at_every_step(const job_request& request, failed_component component) {
    for (time_ms at = 0; at <= last_failure_ms; at += step_ms) {
        INFO("failure injected " << at << " ms after the submission");
        REQUIRE(run_with_failure(request, component, at) == "");
    }
}

} // namespace

TEST_CASE("a non-repeatable request survives a crash of the submitting instance at any step") {
    check_failure_at_every_step(make_request("once", "check", 1, 1),
                                failed_component::submitting_instance);
}

TEST_CASE("a non-repeatable request survives a crash of the rack owner at any step") {
    check_failure_at_every_step(make_request("once", "check", 1, 1), failed_component::rack_owner);
}

TEST_CASE("a non-repeatable request runs at most once when its worker restarts at any step") {
    check_failure_at_every_step(make_request("once", "check", 1, 1), failed_component::worker);
}

TEST_CASE("a gang survives a crash of the rack owner at any step") {
    check_failure_at_every_step(make_request("gang", "render", 3, 4), failed_component::rack_owner);
}

TEST_CASE("a gang survives a restart of a member's worker at any step") {
    check_failure_at_every_step(make_request("gang", "render", 3, 4), failed_component::worker);
}

TEST_CASE("instances that reach the log but not their peers do not evict one another") {
    virtual_fleet fleet(3, 3, small_configuration);
    REQUIRE(fleet.set_up());
    fleet.cut_peers(true);
    fleet.run_for(60000);
    for (int i = 0; i < 3; ++i) {
        CHECK(fleet.state(i).ledger.instances.size() == 3);
        CHECK(is_ready(fleet.state(i)));
    }
}

TEST_CASE("a one-hour log outage loses no job and causes no burst of records on recovery") {
    virtual_fleet fleet(4, 3, small_configuration);
    REQUIRE(fleet.set_up());
    auto running = make_request("running", "render", 1, 1);
    running.payload = R"({"run_ms":600000})";
    fleet.submit(0, running);
    fleet.run_for(1000);
    fleet.set_log_down(true);
    fleet.run_for(milliseconds_per_hour);
    const auto refused = fleet.submit(1, make_request("refused", "check", 1, 1), 1000);
    fleet.run_for(2000);
    CHECK(fleet.replies().at(refused).status == 503);
    const auto version = fleet.state(0).ledger.config_version;
    const std::size_t before = fleet.log_size();
    fleet.set_log_down(false);
    fleet.run_for(10000);
    CHECK(fleet.log_size() - before < 100);
    CHECK(fleet.state(0).ledger.config_version == version);
    CHECK(find_job(fleet.state(0).ledger, "a2/running")->phase == job_phase::done);
    CHECK(check_history(fleet.fold_log(), fleet.history()).empty());
}

TEST_CASE("5,000 concurrent cancellations do not delay an urgent request past its limit") {
    virtual_fleet fleet(5, 3, small_configuration);
    REQUIRE(fleet.set_up());
    for (int n = 0; n < 45; ++n) {
        fleet.submit(n % 3, make_request("w" + std::to_string(n), "design", 2, 8));
    }
    fleet.run_for(2000);
    for (int n = 0; n < 5000; ++n) {
        fleet.cancel(n % 3, "a2/w" + std::to_string(n % 45));
    }
    const time_ms submitted = fleet.now();
    const auto token = fleet.submit(0, make_request("urgent", "check", 1, 1), 10000);
    REQUIRE(fleet.run_until([&] { return fleet.replies().contains(token); }, 10000));
    CHECK(fleet.replies().at(token).body["state"] == "done");
    constexpr time_ms urgent_limit_ms = 1900;
    CHECK(fleet.now() - submitted < urgent_limit_ms + 150);
}
