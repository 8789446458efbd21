#include "config_check/compare.h"
#include "fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fulmarworks::config_check;

namespace {

bool has_change(const comparison& c, change_kind kind, location where, const std::string& name) {
    return std::any_of(c.changes.begin(), c.changes.end(), [&](const change& found) {
        return found.kind == kind && found.where == where && found.name == name;
    });
}

} // namespace

TEST_CASE("an identical version is noted, and other content or an earlier version is an error") {
    const document in_force = make_document();
    const auto same = compare(in_force, in_force);
    CHECK(same.changes.empty());
    REQUIRE(same.version.size() == 1);
    CHECK(same.version[0].kind == finding_kind::identical);
    CHECK(same.version[0].level == severity::note);

    document candidate = in_force;
    candidate.max_body_bytes = 5000;
    const auto reused = compare(in_force, candidate);
    REQUIRE(reused.version.size() == 1);
    CHECK(reused.version[0].kind == finding_kind::version_reused);
    CHECK(reused.version[0].level == severity::error);

    candidate.version = 6;
    const auto older = compare(in_force, candidate);
    REQUIRE(older.version.size() == 1);
    CHECK(older.version[0].kind == finding_kind::version_not_increased);
    CHECK(older.version[0].level == severity::error);
}

TEST_CASE("a newer version lists what was added, removed and changed, without API keys") {
    const document in_force = make_document();
    document candidate = in_force;
    candidate.version = 8;
    candidate.routes[0].timeout_ms.reset();
    candidate.routes[1].decoded.name = "nightly";
    candidate.pools->push_back("spare");
    candidate.accounts[0].guaranteed = 4;
    candidate.accounts[0].keys = {{"key-2", 0}, {"key-4", 1}};
    candidate.accounts.push_back({"z", {{"key-5", 0}}, {}});
    candidate.accounts.erase(candidate.accounts.begin() + 1);
    const auto c = compare(in_force, candidate);
    CHECK(c.version.empty());
    CHECK(c.changes.size() == 11);
    using enum change_kind;
    CHECK(has_change(c, changed, {section::routes, 0, field::timeout, {}}, "urgent"));
    CHECK(has_change(c, added, {section::routes, 1, field::none, {}}, "nightly"));
    CHECK(has_change(c, removed, {section::routes, 1, field::none, {}}, "batch"));
    CHECK(has_change(c, added, {section::pools, 1, field::none, {}}, "spare"));
    CHECK(has_change(c, changed, {section::accounts, 0, field::guaranteed_accelerators, {}}, "x"));
    CHECK(has_change(c, added, {section::accounts, 0, field::keys, 1}, "x"));
    CHECK(has_change(c, removed, {section::accounts, 0, field::keys, 0}, "x"));
    CHECK(has_change(c, added, {section::accounts, 1, field::none, {}}, "z"));
    CHECK(has_change(c, removed, {section::accounts, 1, field::none, {}}, "y"));
    for (const auto& change : c.changes) {
        CHECK((change.name + change.before + change.after).find("key-") == std::string::npos);
    }
}

// Guards against changes reported only because entries or keys were reordered, and against
// entries of equal names that are all paired with the same entry.
TEST_CASE("the order of entries and keys is no difference, and equal names are paired in order") {
    document in_force = make_document();
    document candidate = in_force;
    std::swap(candidate.routes[0], candidate.routes[1]);
    candidate.accounts[0].keys = {{"key-2", 0}, {"key-1", 1}};
    CHECK(compare(in_force, candidate).changes.empty());
    candidate.accounts.push_back(candidate.accounts[1]);
    CHECK(compare(in_force, candidate).changes.size() == 2);
    in_force.accounts.push_back(in_force.accounts[1]);
    CHECK(compare(in_force, candidate).changes.empty());
}
