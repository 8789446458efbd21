#include "gateway/classify.h"

#include <catch2/catch.hpp>

using namespace fulmarworks::gateway;

namespace {

configuration make_configuration() {
    configuration config;
    config.version = 1;
    route queue;
    queue.name = "q";
    queue.host = "a.example";
    queue.path_prefix = "/jobs/";
    config.routes.push_back(queue);
    queue.name = "nested";
    queue.path_prefix = "/jobs/deep/";
    config.routes.push_back(queue);
    queue.name = "open";
    queue.host = "b.example";
    queue.path_prefix = "/open/";
    queue.is_public = true;
    config.routes.push_back(queue);
    config.account_by_key["key"] = "account";
    return config;
}

const std::string id = "5c0e7a21d94b36f8";

} // namespace

TEST_CASE("the method and the path determine the kind of a call") {
    const auto config = make_configuration();
    const auto submit = classify(&config, {"POST", "a.example", "/jobs/" + id, "key"});
    REQUIRE(std::holds_alternative<submit_job>(submit));
    CHECK(std::get<submit_job>(submit).job == id);
    CHECK(std::get<submit_job>(submit).account == "account");
    CHECK(std::holds_alternative<query_job>(
        classify(&config, {"GET", "a.example", "/jobs/" + id, "key"})));
    CHECK(std::holds_alternative<cancel_job>(
        classify(&config, {"DELETE", "a.example", "/jobs/" + id, "key"})));
    CHECK(std::holds_alternative<query_queue>(
        classify(&config, {"GET", "a.example", "/jobs/", "key"})));
}

TEST_CASE("the route with the longest prefix is chosen, and a port in the host is ignored") {
    const auto config = make_configuration();
    const auto submit = classify(&config, {"POST", "a.example:80", "/jobs/deep/" + id, "key"});
    REQUIRE(std::holds_alternative<submit_job>(submit));
    CHECK(std::get<submit_job>(submit).queue->name == "nested");
}

TEST_CASE(
    "a missing configuration is reported before an unknown route, and that before an unknown key") {
    const auto config = make_configuration();
    const auto reason = [](const classified_call& c) { return std::get<refusal>(c); };
    CHECK(reason(classify(nullptr, {"GET", "a.example", "/jobs/", "key"})) ==
          refusal::no_configuration);
    CHECK(reason(classify(&config, {"GET", "a.example", "/none/", "bad"})) ==
          refusal::unknown_route);
    CHECK(reason(classify(&config, {"GET", "a.example", "/jobs/", "bad"})) == refusal::unknown_key);
    CHECK(reason(classify(&config, {"PUT", "a.example", "/jobs/" + id, "key"})) ==
          refusal::unknown_method);
    CHECK(reason(classify(&config, {"POST", "a.example", "/jobs/short", "key"})) ==
          refusal::malformed_job_id);
    CHECK(status_of(refusal::no_configuration) == 503);
    CHECK(status_of(refusal::unknown_route) == 404);
    CHECK(status_of(refusal::unknown_key) == 401);
}

TEST_CASE("a public route needs no API key") {
    const auto config = make_configuration();
    CHECK(std::holds_alternative<submit_job>(
        classify(&config, {"POST", "b.example", "/open/" + id, ""})));
}

TEST_CASE("queues are known by name, unless routes of one name have different policies") {
    auto config = make_configuration();
    config.version = 3;
    config.routes[0].policy.pool = "pool";
    config.routes[1].name = config.routes[2].name;
    CHECK(queue_policies_of(config).version == 3);
    CHECK(queue_policies_of(config).by_queue.size() == 2);
    CHECK(queue_policies_of(config).by_queue.at("q").pool == "pool");
    config.routes[1].policy.priority = 4;
    CHECK(queue_policies_of(config).by_queue.size() == 1);
}
