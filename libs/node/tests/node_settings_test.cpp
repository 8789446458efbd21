#include "node/node_settings.h"

#include <catch2/catch.hpp>
#include <string>

namespace fulmarworks::node {

namespace {

const std::string required_keys = "name: e1\nfailure_domain: z\nip: 10.0.0.1\n"
                                  "caller_address: 10.0.0.1:1\nreadiness_address: 10.0.0.1:2\n"
                                  "store_address: 10.0.0.2:1\n";

/** Checks that a switch is on by default, can be turned off and takes only booleans. */
void check_switch(const std::string& key, bool scheduler::settings::*value) {
    CAPTURE(key);
    const auto defaults = parse_node_settings(required_keys);
    REQUIRE(defaults);
    CHECK(defaults.value().limits.*value);
    const auto off = parse_node_settings(required_keys + key + ": false\n");
    REQUIRE(off);
    CHECK_FALSE(off.value().limits.*value);
    const auto wrong = parse_node_settings(required_keys + key + ": 7\n");
    REQUIRE_FALSE(wrong);
    CHECK(wrong.error().message.find(key) != std::string::npos);
}

} // namespace

TEST_CASE("run times are learned unless the settings turn this off") {
    check_switch("learned_run_times", &scheduler::settings::learned_run_times);
}

TEST_CASE("worker speeds are learned unless the settings turn this off") {
    check_switch("learned_worker_speeds", &scheduler::settings::learned_worker_speeds);
}

TEST_CASE("limits for clients follow from the memory and descriptors of the process") {
    const auto parsed =
        parse_node_settings(required_keys + "memory_mb: 120\nmax_open_files: 3072\n");
    REQUIRE(parsed);
    const resource_limits& limits = parsed.value().resources;
    CHECK(limits.client_memory_mb == 30);
    CHECK(limits.job_memory_mb == 30);
    CHECK(limits.max_connections == 768);
    CHECK(limits.max_open_calls == 384);
    CHECK(limits.max_relayed_starts == 192);
    const auto stated = parse_node_settings(
        required_keys + "memory_mb: 120\nclient_memory_mb: 8\nmax_open_calls: 7\n"
                        "max_head_bytes: 4096\ntransfer_timeout_ms: 2500\n");
    REQUIRE(stated);
    CHECK(stated.value().resources.client_memory_mb == 8);
    CHECK(stated.value().resources.max_open_calls == 7);
    CHECK(stated.value().resources.max_head_bytes == 4096);
    CHECK(stated.value().resources.transfer_timeout_ms == 2500);
}

TEST_CASE("limits for clients that the process can't keep are refused") {
    for (const std::string wrong :
         {"memory_mb: 0", "memory_mb: 15", "memory_mb: much", "max_open_files: 10",
          "client_memory_mb: 200", "job_memory_mb: 200", "max_head_bytes: 100",
          "max_body_bytes: 100000000", "transfer_timeout_ms: -1", "max_connections: 4000",
          "max_open_calls: 4000", "max_open_calls: 0"}) {
        CAPTURE(wrong);
        const auto parsed = parse_node_settings(required_keys + wrong + "\n");
        REQUIRE_FALSE(parsed);
        const std::string key = wrong.substr(0, wrong.find(':'));
        CHECK(parsed.error().message.find(key) != std::string::npos);
    }
}

} // namespace fulmarworks::node
