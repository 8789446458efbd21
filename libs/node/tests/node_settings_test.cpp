#include "node/node_settings.h"

#include <catch2/catch.hpp>
#include <string>

using namespace fulmarworks::node;

namespace {

const std::string required_keys = "name: e1\nfailure_domain: d1\nip: 127.0.0.1\n"
                                  "caller_address: 127.0.0.1:1\nreadiness_address: 127.0.0.1:2\n"
                                  "store_address: 127.0.0.1:3\n";

} // namespace

TEST_CASE("the switch of learned worker speeds is on by default and must be true or false") {
    const auto parsed = [](const std::string& line) {
        return parse_node_settings(required_keys + line);
    };
    REQUIRE(parsed(""));
    CHECK(parsed("").value().limits.learned_worker_speeds);
    REQUIRE(parsed("learned_worker_speeds: false"));
    CHECK_FALSE(parsed("learned_worker_speeds: false").value().limits.learned_worker_speeds);
    CHECK_FALSE(parsed("learned_worker_speeds: 3"));
}
