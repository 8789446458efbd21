#include "coordinator_fixture.h"
#include "scheduler/codec.h"

#include <catch2/catch.hpp>

namespace fulmarworks::scheduler {

// Guards against a job that is shown as failed though its gang has failed once: each member that
// was listed as failed counted as an attempt of its own.
TEST_CASE("a gang's run that fails counts as one attempt, however many members are listed") {
    const bool leader_changes = GENERATE(false, true);
    constexpr std::uint32_t members = 4;
    coordinator_fixture f;
    f.add_worker("w1");
    f.add_worker("w2");
    auto spec = coordinator_fixture::make_job("a", members, {1000, 1000, 1});
    spec.policy.max_attempts = 2;
    spec.steps[0].gang = true;
    f.send(job_submitted{spec});
    const auto orders = f.take_all<send_start>();
    REQUIRE(orders.size() == members);
    std::vector<ended_run> ends;
    std::vector<active_run> active;
    for (const auto& order : orders) {
        f.accept_start(order);
        ends.push_back({ends.size() + 1, order.task, order.run, end_reason::failed, ""});
        active.push_back({order.task, order.run, "", 1});
    }
    const std::string id = orders.front().where.id;
    f.answer_poll(id, {active.begin() + 1, active.end()}, {ends.front()});
    REQUIRE(f.state.jobs.at("a")->occurrences[0].steps[0].gang_failures == 1);
    if (leader_changes) {
        const job& old = *f.state.jobs.at("a");
        std::vector<stored_job> jobs;
        jobs.push_back({old.spec, encode_progress(old)});
        f.state = recover(f.state.limits, std::move(jobs), f.now, 0);
        f.send(worker_reported{coordinator_fixture::make_report(id)});
    }
    f.answer_poll(id, {}, ends);
    CHECK(f.state.jobs.at("a")->occurrences[0].steps[0].gang_failures == 1);
    CHECK_FALSE(f.state.jobs.at("a")->failed);
}

} // namespace fulmarworks::scheduler
