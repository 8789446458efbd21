#include "coordinator_fixture.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::scheduler;

namespace {

constexpr resources one_accelerator{1000, 1000, 1};

void add_worker_in(coordinator_fixture& f, const std::string& id, const std::string& domain) {
    auto report = f.make_report(id);
    report.failure_domain = domain;
    f.send(worker_reported{report});
    f.send(tick{});
    f.answer_poll(id);
}

} // namespace

TEST_CASE("nothing starts in an evacuated failure domain until the request is withdrawn") {
    coordinator_fixture f;
    add_worker_in(f, "w1", "d1");
    f.send(evacuations_changed{{"d1"}});
    CHECK_FALSE(f.run_job(f.make_job("a", 1, one_accelerator)));
    SECTION("elsewhere it does") {
        add_worker_in(f, "w2", "d2");
        const auto start = f.take<send_start>();
        REQUIRE(start);
        CHECK(start->where.id == "w2");
    }
    SECTION("withdrawn") {
        f.send(evacuations_changed{});
        CHECK(f.take<send_start>());
    }
}

TEST_CASE(
    "a placed task and an unanswered start don't go to a domain that is evacuated meanwhile") {
    coordinator_fixture f;
    add_worker_in(f, "w1", "d1");
    SECTION("placed") {
        f.confirm_stores = false;
        f.send(job_submitted{f.make_job("a", 1, one_accelerator)});
        REQUIRE(f.take<store_records>());
        f.send(evacuations_changed{{"d1"}});
        f.confirm_stores = true;
        f.send(records_stored{});
        CHECK_FALSE(f.take<send_start>());
    }
    SECTION("not answered") {
        f.send(job_submitted{f.make_job("a", 1, one_accelerator)});
        REQUIRE(f.take<send_start>());
        f.send(evacuations_changed{{"d1"}});
        f.advance(1000);
        CHECK_FALSE(f.take<send_start>());
    }
}

TEST_CASE("runs in an evacuated failure domain go on") {
    coordinator_fixture f;
    add_worker_in(f, "w1", "d1");
    const auto order = f.run_job(f.make_job("a", 1, one_accelerator));
    REQUIRE(order);
    f.send(evacuations_changed{{"d1"}});
    f.advance(50);
    CHECK_FALSE(f.take<send_stop>());
    f.answer_poll("w1", {}, {{1, order->task, 1, end_reason::done, ""}});
    CHECK(f.state.jobs.at("a")->visible_state == job_state::completed);
}
