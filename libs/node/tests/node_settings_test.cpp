#include "node/node_settings.h"

#include <catch2/catch.hpp>
#include <string>

using namespace fulmarworks::node;

TEST_CASE("the switch of learned worker speeds is on by default and must be true or false") {
    const std::string keys = "{name: e1, failure_domain: d1, ip: 127.0.0.1, caller_address: "
                             "127.0.0.1:1, readiness_address: 127.0.0.1:2, store_address: "
                             "127.0.0.1:3, learned_worker_speeds: ";
    CHECK(parse_node_settings(keys + "}").value().limits.learned_worker_speeds);
    CHECK_FALSE(parse_node_settings(keys + "false}").value().limits.learned_worker_speeds);
    CHECK_FALSE(parse_node_settings(keys + "3}"));
}
