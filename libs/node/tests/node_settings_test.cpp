#include "node/node_settings.h"

#include <catch2/catch.hpp>

using namespace fulmarworks::node;

TEST_CASE("run times are learned unless the settings turn this off") {
    const std::string required = "name: e1\nfailure_domain: z\nip: 10.0.0.1\n"
                                 "caller_address: 10.0.0.1:1\nreadiness_address: 10.0.0.1:2\n"
                                 "store_address: 10.0.0.2:1\n";
    REQUIRE(parse_node_settings(required));
    CHECK(parse_node_settings(required).value().limits.learned_run_times);
    const auto off = parse_node_settings(required + "learned_run_times: false\n");
    REQUIRE(off);
    CHECK_FALSE(off.value().limits.learned_run_times);
    const auto wrong = parse_node_settings(required + "learned_run_times: 7\n");
    REQUIRE_FALSE(wrong);
    CHECK(wrong.error().message.find("learned_run_times") != std::string::npos);
}
