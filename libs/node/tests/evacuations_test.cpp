#include "evacuations.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

platform::logged_record make_record(const std::string& key, const std::string& value) {
    platform::logged_record record;
    record.key = key;
    record.value = value;
    return record;
}

} // namespace

TEST_CASE("an evacuation is in force from its record to its deletion, other documents apart") {
    std::set<std::string> domains;
    CHECK(apply_evacuation(domains, make_record("evacuate/d1", "{}")));
    CHECK(domains == std::set<std::string>{"d1"});
    CHECK_FALSE(apply_evacuation(domains, make_record("config", "{}")));
    CHECK_FALSE(apply_evacuation(domains, make_record("evacuate/", "{}")));
    CHECK(apply_evacuation(domains, make_record("evacuate/d1", "")));
    CHECK(domains.empty());
}

TEST_CASE("evacuations that are missing from a snapshot are withdrawn") {
    const std::vector<platform::logged_record> records{make_record("config", "{}"),
                                                       make_record("evacuate/d2", "{}")};
    CHECK(evacuated_domains_of(records) == std::set<std::string>{"d2"});
}
