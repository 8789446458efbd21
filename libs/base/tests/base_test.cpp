#include "base/digest.h"
#include "base/json.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;

TEST_CASE("parse_json rejects malformed and too deeply nested text") {
    CHECK_FALSE(parse_json("{").has_value());
    CHECK_FALSE(parse_json(std::string(1000, '[')).has_value());
    CHECK_FALSE(parse_json(std::string(40, '[') + std::string(40, ']')).has_value());
    CHECK(parse_json(R"({"a":[1,2]})").has_value());
}

TEST_CASE("digest is deterministic and differs for different data") {
    CHECK(digest("a") == digest("a"));
    CHECK(digest("a") != digest("b"));
    CHECK(digest("").size() == 16);
}
