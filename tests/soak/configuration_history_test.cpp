#include "configuration_history.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::soak;

namespace {

constexpr time_ms bound_ms = 1000;

/** Version 0 at 0 ms, version 1 at 5000 ms: it adds route `new` and key `k2`, and removes `old`. */
configuration_history two_versions() {
    configuration_history history(bound_ms);
    history.publish({0, {"lasting", "old"}, {"k1"}});
    history.publish({5000, {"lasting", "new"}, {"k1", "k2"}});
    return history;
}

observed_call make_call(const std::string& route, time_ms sent_at, int status,
                        const std::string& key = "k1") {
    return {"h", route, key, sent_at, sent_at + 5, status};
}

} // namespace

TEST_CASE("an old version counts as a violation only after the bound") {
    for (const bool late : {false, true}) {
        for (const auto& call : {make_call("new", 5900, 404), make_call("old", 5900, 200),
                                 make_call("lasting", 5900, 401, "k2")}) {
            auto history = two_versions();
            auto observed = call;
            observed.sent_at += late ? 200 : 0;
            history.observe(observed);
            CHECK(history.violations().size() == (late ? 1 : 0));
        }
    }
}

TEST_CASE("a host that has shown a version doesn't go back until it restarts") {
    for (const bool restarted : {false, true}) {
        auto history = two_versions();
        history.observe(make_call("new", 5100, 200));
        auto later = make_call("old", 5400, 200);
        later.host += restarted ? " restarted" : "";
        history.observe(later);
        CHECK(history.violations().size() == (restarted ? 0 : 1));
    }
}

TEST_CASE("refused and unanswered calls tell of no version, and new versions are no violation") {
    auto history = two_versions();
    history.observe(make_call("new", 9000, 503));
    history.observe(make_call("new", 9000, 0));
    history.observe(make_call("new", 5001, 200));
    history.observe(make_call("old", 9000, 404));
    CHECK(history.violations().empty());
    CHECK(history.handled() == std::map<int, int>{{200, 1}, {404, 1}});
}
