#include "random_run.h"
#include "virtual_fleet.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;

TEST_CASE("a job submitted to one instance is visible on all instances") {
    virtual_fleet fleet(1, 3, small_configuration);
    REQUIRE(fleet.set_up());
    job_request r;
    r.client_account = "a2";
    r.request_id = "r1";
    r.job_class = "preview";
    r.shape = {1, 1, 1};
    r.payload = R"({"run_ms":100})";
    const auto token = fleet.submit(1, r, 5000);
    REQUIRE(fleet.run_until([&] { return fleet.replies().contains(token); }, 5000));
    CHECK(fleet.replies().at(token).body["state"] == "done");
    fleet.run_for(1000);
    for (int i = 0; i < 3; ++i) {
        CHECK(find_job(fleet.state(i).ledger, "a2/r1")->phase == job_phase::done);
    }
}
