#include "config_check/check.h"
#include "fixture.h"

#include <catch2/catch.hpp>
#include <functional>
#include <limits>

using namespace fulmarworks::config_check;

namespace {

constexpr auto warning = severity::warning;
constexpr auto error = severity::error;

struct check_case {
    const char* description = "";
    std::function<void(document&)> damage;
    finding_kind kind = finding_kind::missing;
    severity level = warning;
    location where;
};

location route(std::size_t entry, field value) {
    return {section::routes, entry, value, {}};
}

location account(std::size_t entry, field value, std::optional<std::size_t> element = {}) {
    return {section::accounts, entry, value, element};
}

const std::vector<check_case> cases = {
    {"no routes",
     [](document& d) { d.routes.clear(); },
     finding_kind::empty_list,
     warning,
     {section::document, {}, field::routes, {}}},
    {"no accounts",
     [](document& d) { d.accounts.clear(); },
     finding_kind::empty_list,
     warning,
     {section::document, {}, field::accounts, {}}},
    {"no list of pools",
     [](document& d) { d.pools.reset(); },
     finding_kind::missing,
     warning,
     {section::document, {}, field::pools, {}}},
    {"route without a name", [](document& d) { d.routes[1].decoded.name.clear(); },
     finding_kind::missing, warning, route(1, field::name)},
    {"route without a pool", [](document& d) { d.routes[1].decoded.policy.pool.clear(); },
     finding_kind::missing, warning, route(1, field::pool)},
    {"two routes of one name", [](document& d) { d.routes[1].decoded.name = "urgent"; },
     finding_kind::duplicate_name, error, route(1, field::name)},
    {"two accounts of one name", [](document& d) { d.accounts[1].name = "x"; },
     finding_kind::duplicate_name, error, account(1, field::name)},
    {"equal host and prefix", [](document& d) { d.routes[1].decoded.path_prefix = "/urgent/"; },
     finding_kind::shadowed_route, warning, route(1, field::path_prefix)},
    {"host with a port", [](document& d) { d.routes[0].decoded.host = "a.example:80"; },
     finding_kind::unmatchable_host, warning, route(0, field::host)},
    {"host in mixed case", [](document& d) { d.routes[0].decoded.host = "A.example"; },
     finding_kind::mixed_case_host, severity::note, route(0, field::host)},
    {"relative prefix", [](document& d) { d.routes[0].decoded.path_prefix = "urgent/"; },
     finding_kind::unmatchable_prefix, warning, route(0, field::path_prefix)},
    {"prefix without a slash", [](document& d) { d.routes[0].decoded.path_prefix = "/urgent"; },
     finding_kind::prefix_without_slash, warning, route(0, field::path_prefix)},
    {"pool without an entry", [](document& d) { d.routes[1].decoded.policy.pool = "none"; },
     finding_kind::unknown_pool, error, route(1, field::pool)},
    {"pool without routes",
     [](document& d) { d.pools->push_back("spare"); },
     finding_kind::unused_pool,
     warning,
     {section::pools, 1, field::none, {}}},
    {"account without keys", [](document& d) { d.accounts[1].keys.clear(); },
     finding_kind::account_without_keys, warning, account(1, field::keys)},
    {"empty key", [](document& d) { d.accounts[0].keys[1].value.clear(); }, finding_kind::empty_key,
     warning, account(0, field::keys, 1)},
    {"key twice in one account", [](document& d) { d.accounts[0].keys[1].value = "key-1"; },
     finding_kind::repeated_key, warning, account(0, field::keys, 1)},
    {"key of two accounts", [](document& d) { d.accounts[1].keys[0].value = "key-2"; },
     finding_kind::shared_key, error, account(1, field::keys, 0)},
    {"urgent public route", [](document& d) { d.routes[0].decoded.is_public = true; },
     finding_kind::public_beside_guarantees, warning, route(0, field::is_public)},
    {"public route of lower priority", [](document& d) { d.routes[1].decoded.is_public = true; },
     finding_kind::public_beside_guarantees, severity::note, route(1, field::is_public)},
    {"high priority number", [](document& d) { d.routes[1].decoded.policy.priority = 10; },
     finding_kind::unusual_priority, warning, route(1, field::priority)},
    {"no attempts", [](document& d) { d.routes[1].decoded.policy.max_attempts = 0; },
     finding_kind::no_attempts, warning, route(1, field::max_attempts)},
    {"timeout of 0", [](document& d) { d.routes[1].timeout_ms = 0; },
     finding_kind::timeout_not_positive, warning, route(1, field::timeout)},
    {"timeout below the objective", [](document& d) { d.routes[1].timeout_ms = 249; },
     finding_kind::timeout_below_objective, warning, route(1, field::timeout)},
    {"objective of 0",
     [](document& d) {
         d.routes[1].decoded.policy.slack_factor = 0;
         d.routes[1].decoded.policy.latency_objective_ms = 0;
     },
     finding_kind::no_objective, warning, route(1, field::latency_objective)},
    {"negative guarantee", [](document& d) { d.accounts[1].guaranteed = -1; },
     finding_kind::negative_guarantee, warning, account(1, field::guaranteed_accelerators)},
    {"guarantee without an urgent route",
     [](document& d) { d.routes[0].decoded.policy.priority = 1; },
     finding_kind::guarantee_without_urgent_route, warning,
     account(0, field::guaranteed_accelerators)},
    {"guarantees above the capacity, with a sum that overflows",
     [](document& d) { d.accounts[1].guaranteed = std::numeric_limits<std::int64_t>::max(); },
     finding_kind::guarantees_above_capacity,
     warning,
     {section::document, {}, field::accounts, {}}},
    {"small body limit",
     [](document& d) { d.max_body_bytes = 3999; },
     finding_kind::body_limit_below_payload,
     warning,
     {section::limits, {}, field::max_body_bytes, {}}},
};

const check_options options{16, 4000};

} // namespace

TEST_CASE("a sound document has no findings, also with nested prefixes of one host") {
    document d = make_document();
    d.routes[1].decoded.path_prefix = "/urgent/deep/";
    d.accounts[1].guaranteed = 8;
    CHECK(check(d, options).empty());
    CHECK(check(d, {15, 4000}).size() == 1);
    CHECK(check(d, {{}, 4000}).empty());
}

// Guards against a finding that is missed, at the wrong place, or accompanied by false ones.
TEST_CASE("each damage of a sound document yields its one finding") {
    for (const auto& c : cases) {
        INFO(c.description);
        document d = make_document();
        c.damage(d);
        const auto found = check(d, options);
        REQUIRE(found.size() == 1);
        CHECK(found[0].kind == c.kind);
        CHECK(found[0].level == c.level);
        CHECK(found[0].where == c.where);
    }
}

TEST_CASE("content that could not be read is not reported a second time") {
    const findings form = {
        {finding_kind::mistyped, error, route(1, field::name), {}, {}, 1},
        {finding_kind::mistyped_but_accepted, warning, route(0, field::none), {}, {}, 1}};
    const findings content = {{finding_kind::missing, warning, route(1, field::name), {}, {}, 1},
                              {finding_kind::missing, warning, route(0, field::host), {}, {}, 1},
                              {finding_kind::missing, warning, route(1, field::host), {}, {}, 1}};
    const auto merged = merge(form, content);
    REQUIRE(merged.size() == 3);
    CHECK(merged[0].kind == finding_kind::mistyped_but_accepted);
    CHECK(merged[2].where == route(1, field::host));
}
