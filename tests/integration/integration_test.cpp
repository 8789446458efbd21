#include "history.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace fulmarworks;

namespace {

constexpr int powered_on_hosts = 42;

json parsed(const http_answer& a) {
    const auto j = parse_json(a.body);
    return j ? j.value() : json::object();
}

} // namespace

TEST_CASE("invalid requests are rejected with a 4xx status and create no job") {
    test_cluster cluster;
    REQUIRE(cluster.publish());
    const json good = submission("ghent", "ok", "slurry-fit", 1, 1, 100);
    const auto status_of = [&](json body) {
        return cluster.call(0, "POST", "/v1/jobs", body).status;
    };
    const auto changed = [&](const char* key, const json& value) {
        json body = good;
        body["request_id"] = "bad";
        body[key] = value;
        return body;
    };
    CHECK(cluster.call(0, "POST", "/v1/jobs", "not an object").status == 400);
    CHECK(status_of(changed("tasks", -1)) == 400);
    CHECK(status_of(changed("tasks", 1e30)) == 400);
    CHECK(status_of(changed("accelerators", 65)) == 400);
    CHECK(status_of(changed("memory_gb", "much")) == 400);
    CHECK(status_of(changed("unknown_field", 1)) == 400);
    CHECK(status_of(changed("payload", std::string(20000, 'x'))) == 400);
    CHECK(status_of(changed("client_account", "nobody")) == 404);
    CHECK(status_of(changed("job_class", "nothing")) == 404);
    CHECK(status_of(changed("tasks", 4000)) == 422);
    CHECK(cluster.call(0, "POST", "/v1/jobs", std::string(300000, 'x')).status != 200);
    CHECK(cluster.call(0, "GET", "/v1/jobs/ghent/bad").status == 404);
    CHECK(cluster.call(0, "GET", "/v1/nothing").status == 404);
    CHECK(cluster.call(0, "GET", "/healthz").status == 200);
}

TEST_CASE("any instance serves any job, and a repeated request attaches to the first") {
    test_cluster cluster;
    REQUIRE(cluster.publish());
    REQUIRE(cluster.wait_hosts_up(0, powered_on_hosts));
    const json body = submission("liege", "fit-1", "press-fit-check", 1, 1, 300);
    CHECK(cluster.call(0, "POST", "/v1/jobs", body).status == 202);
    CHECK(cluster.call(1, "POST", "/v1/jobs", body).status < 300);
    CHECK(cluster.call(2, "POST", "/v1/jobs", body).status < 300);
    json other = body;
    other["accelerators"] = 2;
    CHECK(cluster.call(1, "POST", "/v1/jobs", other).status == 409);
    for (int i = 0; i < 3; ++i) {
        CHECK(cluster.wait_final(i, "liege/fit-1").value("state", "") == "done");
        CHECK(cluster.get(i, "/v1/jobs/liege/fit-1/explain")["decisions"].size() >= 3);
        CHECK(cluster.call(i, "GET", "/v1/jobs/liege/fit-1/result").status == 200);
    }
    CHECK(count_starts(read_history(cluster), "liege/fit-1") == 1);
    CHECK(cluster.call(0, "GET", "/metrics").body.find("fulmarworks_config_version 1") !=
          std::string::npos);
}

TEST_CASE("a large result is complete when served by an instance that does not own its worker") {
    test_cluster cluster;
    REQUIRE(cluster.publish());
    REQUIRE(cluster.wait_hosts_up(0, powered_on_hosts));
    json body = submission("ghent", "render", "slurry-fit", 1, 1, 50);
    body["payload"] = R"({"run_ms":50,"result_bytes":3000000})";
    REQUIRE(cluster.call(0, "POST", "/v1/jobs", body).status == 202);
    const json report = cluster.wait_final(1, "ghent/render");
    REQUIRE(report.value("state", "") == "done");
    for (int i = 0; i < 3; ++i) {
        const auto result = cluster.call(i, "GET", "/v1/jobs/ghent/render/result");
        CHECK(result.status == 200);
        CHECK(result.body.size() == report.value("result_size", std::size_t{0}));
    }
}

TEST_CASE(
    "an instance that lags in reading the log serves a result that another instance reported") {
    test_cluster cluster;
    REQUIRE(cluster.publish());
    REQUIRE(cluster.wait_hosts_up(0, powered_on_hosts));
    constexpr time_ms lag_ms = 150;
    cluster.control_log_proxy(0, {{"fault", "delay"}, {"delay_ms", lag_ms}});
    for (int round = 0; round < 5; ++round) {
        const std::string id = "late-" + std::to_string(round);
        REQUIRE(cluster.call(1, "POST", "/v1/jobs", submission("ghent", id, "slurry-fit", 1, 1, 50))
                    .status == 202);
        REQUIRE(cluster.wait_final(1, "ghent/" + id).value("state", "") == "done");
        CHECK(cluster.call(0, "GET", "/v1/jobs/ghent/" + id + "/result").status == 200);
    }
}

TEST_CASE("of two conflicting publishes one succeeds and the other gets the new version") {
    test_cluster cluster;
    REQUIRE(cluster.publish());
    constexpr int rounds = 50;
    int accepted = 0;
    int conflicts = 0;
    std::uint64_t version = 1;
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::uint64_t> winners;
        for (int i = 0; i < 2; ++i) {
            const std::string weight = std::to_string(round + i + 1);
            const json body = {
                {"publish_id", "p" + std::to_string(round) + "-" + std::to_string(i)},
                {"based_on", version},
                {"document",
                 "edits: [{put: {client_account: {name: namur, weight: " + weight + "}}}]"}};
            const auto answer = cluster.call(i, "POST", "/v1/configuration", body);
            const json response = parsed(answer);
            if (answer.status == 200) {
                ++accepted;
                winners.push_back(response.value("version", std::uint64_t{0}));
            } else {
                CHECK(answer.status == 409);
                CHECK(response.value("version", std::uint64_t{0}) == version + 1);
                ++conflicts;
            }
        }
        REQUIRE(winners.size() == 1);
        version = winners.front();
    }
    CHECK(accepted == rounds);
    CHECK(conflicts == rounds);
    for (int i = 0; i < 3; ++i) {
        CHECK(cluster.wait_ready(i, version));
    }
}

TEST_CASE("an invalid configuration is rejected as a whole and its errors are listed") {
    test_cluster cluster;
    REQUIRE(cluster.publish());
    const json body = {{"publish_id", "bad"},
                       {"based_on", 1},
                       {"document", "edits:\n  - delete: {host_pool: gent-a}\n"}};
    const auto answer = cluster.call(0, "POST", "/v1/configuration", body);
    CHECK(answer.status == 422);
    CHECK(parsed(answer)["faults"].size() >= 1);
    CHECK(cluster.get(0, "/v1/configuration").value("version", 0) == 1);
}

TEST_CASE("check --platform tells sound documents, warnings and errors apart by its exit code") {
    const std::string base = "/tmp/fulmarworks-check-" + std::to_string(::getpid());
    const auto path = [&](const char* name) { return base + name; };
    const auto write = [&](const char* name, const json& j) {
        std::ofstream(path(name)) << j.dump();
    };
    const auto check = [&](std::vector<std::string> options) {
        options.insert(options.begin(), {FULMARWORKS_BINARY, "check"});
        return child_process(options, path(".out")).wait(10000).value_or(-1);
    };
    json document = {
        {"version", 2},
        {"routes",
         {{{"name", "r"}, {"host", "a.example"}, {"pathPrefix", "/r/"}, {"service", "pool"}}}},
        {"services", {{{"name", "pool"}}}},
        {"tenants", {{{"name", "x"}, {"apiKeys", {"secret"}}, {"guaranteed", {{"gpu", 8}}}}}}};
    write(".sound", document);
    CHECK(check({"--platform", path(".sound"), "--accelerators", "8"}) == 0);
    CHECK(check({"--platform", path(".sound"), "--accelerators", "7"}) == 1);
    CHECK(check({"--platform", path(".sound"), "--against", path(".sound")}) == 0);
    document["version"] = 1;
    write(".older", document);
    CHECK(check({"--platform", path(".older"), "--against", path(".sound")}) == 2);
    CHECK(check({"--json", "--platform", path(".sound"), "--against", path(".older")}) == 0);
    document.erase("routes");
    write(".faulty", document);
    CHECK(check({"--platform", path(".faulty"), "--against", path(".sound")}) == 2);
    CHECK(check({"--platform", path(".sound"), "--against", path(".faulty")}) == 2);
    CHECK(check({"--platform", path(".missing")}) == 2);
    std::ifstream output(path(".out"));
    const std::string shown(std::istreambuf_iterator<char>(output), {});
    CHECK(shown.find("error routes: is missing") != std::string::npos);
    CHECK(shown.find("secret") == std::string::npos);
    for (const char* name : {".sound", ".older", ".faulty", ".out"}) {
        std::remove(path(name).c_str());
    }
}

TEST_CASE("every documented command returns its exit code") {
    test_cluster cluster;
    REQUIRE(cluster.publish());
    REQUIRE(cluster.wait_hosts_up(0, powered_on_hosts));
    const std::string output = "/dev/null";
    const auto run = [&](std::vector<std::string> command) {
        command.insert(command.begin(), FULMARWORKS_BINARY);
        return child_process(command, output).wait(30000).value_or(-1);
    };
    const std::vector<std::string> at = {"--address", cluster.address(1)};
    const auto run_at = [&](std::vector<std::string> command) {
        command.insert(command.end(), at.begin(), at.end());
        return run(std::move(command));
    };
    CHECK(run({"version"}) == 0);
    CHECK(run({"check", std::string(EXAMPLES_DIR) + "/vormpulp.yaml"}) == 0);
    CHECK(run({"check", std::string(EXAMPLES_DIR) + "/vormpulp-jobs.yaml"}) == 3);
    CHECK(run({"check", "/nonexistent"}) == 2);
    CHECK(run_at({"submit", "namur", "s1", "--class", "slurry-fit", "--accelerators", "1",
                  "--payload", R"({"run_ms":50})", "--wait", "10000"}) == 0);
    CHECK(run_at({"status", "namur", "s1"}) == 0);
    CHECK(run_at({"explain", "namur", "s1"}) == 0);
    CHECK(run_at({"result", "namur", "s1"}) == 0);
    CHECK(run_at({"hosts"}) == 0);
    CHECK(run_at({"cancel", "namur", "s1"}) == 0);
    CHECK(run_at({"submit", "namur", "s2", "--class", "nothing"}) == 3);
    CHECK(run({"status", "namur", "s1", "--address", "127.0.0.1:1"}) == 4);
    CHECK(run({"nonsense"}) == 2);
}
