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

} // namespace fulmarworks::node
