#include "configuration_view.h"
#include "free_ports.h"
#include "soak_store.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

constexpr time_ms wait_limit_ms = 5000;
constexpr time_ms bound_ms = 1500;
constexpr const char* topic_name = "keyed.op";

json make_route(const std::string& name) {
    return {{"name", name},       {"host", "example"},      {"pathPrefix", "/" + name + "/"},
            {"service", "pool"},  {"priority", 0},          {"maxAttempts", 4},
            {"slackFactor", 2.0}, {"targetLatencyMs", 1000}};
}

json make_document(int version) {
    return {{"version", version}, {"routes", {make_route("a"), make_route("b")}}};
}

/** A view of the operator's documents on the stand-in for the platform's store. */
struct view_fixture {
    event_loop loop;
    soak::soak_store store{loop};
    http_client http{loop};
    std::string address = "127.0.0.1:" + std::to_string(find_free_ports(1));
    platform::store_client client{http, address};
    decision_log log{"host"};
    int versions = 0;
    int changes = 0;
    std::unique_ptr<configuration_view> view;

    view_fixture() {
        REQUIRE(store.listen(address));
        view = std::make_unique<configuration_view>(configuration_view_context{
            loop, client, log, [this] { ++versions; }, [this] { ++changes; }, [](bool) {}});
    }

    void write(const json& document) { store.put(topic_name, "config", document.dump()); }

    [[nodiscard]] bool reaches(std::uint64_t version) {
        return loop.run_until([&] { return view->version() == version; }, wait_limit_ms);
    }

    [[nodiscard]] bool is_confirmed_after(time_ms at_ms) {
        return loop.run_until([&] { return view->confirmed_at_ms() > at_ms; }, wait_limit_ms);
    }

    void run_for(time_ms duration_ms) {
        loop.run_until([] { return false; }, duration_ms);
    }
};

} // namespace

TEST_CASE("a configuration is in force while it is confirmed, and not for longer than the bound") {
    view_fixture f;
    CHECK(f.view->in_force(bound_ms) == nullptr);
    f.write(make_document(3));
    REQUIRE(f.reaches(3));
    f.run_for(2 * bound_ms);
    CHECK(f.view->in_force(bound_ms) != nullptr);
    f.store.set_mode(soak::store_mode::silent, 0);
    f.run_for(bound_ms);
    CHECK(f.view->in_force(bound_ms) == nullptr);
    CHECK(f.view->newest() != nullptr);
    f.store.set_mode(soak::store_mode::up, 0);
    CHECK(f.is_confirmed_after(boottime_now()));
    CHECK(f.view->in_force(bound_ms)->version == 3);
}

// Each read of a newer version that couldn't be decoded confirmed the older one.
TEST_CASE("a host that can't decode the newest configuration stops to serve the one before") {
    view_fixture f;
    f.write(make_document(3));
    REQUIRE(f.reaches(3));
    f.write({{"version", 4}});
    f.run_for(2 * bound_ms);
    CHECK(f.view->in_force(bound_ms) == nullptr);
    const auto sent_to_peers = f.view->view_for_peer(0);
    REQUIRE(sent_to_peers);
    CHECK(sent_to_peers->configuration_age_ms >= bound_ms);
    f.write(make_document(5));
    REQUIRE(f.reaches(5));
    CHECK(f.view->in_force(bound_ms) != nullptr);
}

TEST_CASE("of configurations that are read together only the last is applied, and none goes back") {
    view_fixture f;
    f.write(make_document(3));
    REQUIRE(f.reaches(3));
    f.store.set_mode(soak::store_mode::silent, 0);
    f.run_for(bound_ms);
    const int versions_before = f.versions;
    const int changes_before = f.changes;
    for (const int version : {5, 7, 9}) {
        f.write(make_document(version));
    }
    f.store.set_mode(soak::store_mode::up, 0);
    REQUIRE(f.is_confirmed_after(boottime_now()));
    CHECK(f.view->version() == 9);
    CHECK(f.changes == changes_before);
    CHECK(f.versions == versions_before + 1);
    f.write(make_document(8));
    REQUIRE(f.is_confirmed_after(boottime_now()));
    CHECK(f.view->version() == 9);
    CHECK(f.changes == changes_before);
    CHECK(f.versions == versions_before + 1);
}

// Each new version made the leader plan all waiting jobs anew, three times a second in a series of
// changes.
TEST_CASE("the leader hears of a new configuration only if guarantees or evacuations change") {
    view_fixture f;
    f.write(make_document(3));
    REQUIRE(f.reaches(3));
    CHECK(f.changes == 1);
    f.write(make_document(4));
    REQUIRE(f.reaches(4));
    CHECK(f.changes == 1);
    json document = make_document(5);
    document["tenants"] = {{{"name", "a"}, {"apiKeys", {"k"}}, {"guaranteed", {{"gpu", 8}}}}};
    f.write(document);
    REQUIRE(f.reaches(5));
    CHECK(f.changes == 2);
    f.store.put(topic_name, "evacuate/d1", "{}");
    CHECK(f.loop.run_until([&] { return f.changes == 3; }, wait_limit_ms));
}

TEST_CASE("a configuration whose history was trimmed is read again and doesn't go back") {
    view_fixture f;
    f.write(make_document(3));
    REQUIRE(f.reaches(3));
    f.store.set_mode(soak::store_mode::silent, 0);
    f.run_for(bound_ms);
    f.write(make_document(4));
    f.store.put(topic_name, "evacuate/d1", "{}");
    f.store.trim_history();
    f.store.set_mode(soak::store_mode::up, 0);
    REQUIRE(f.is_confirmed_after(boottime_now()));
    CHECK(f.view->version() == 4);
    CHECK(f.view->evacuated_domains() == std::set<std::string>{"d1"});
}

TEST_CASE("a peer's view confirms only the version that the peer has read, and since then only") {
    view_fixture f;
    f.write(make_document(3));
    REQUIRE(f.reaches(3));
    f.store.set_mode(soak::store_mode::silent, 0);
    f.run_for(2 * bound_ms);
    const time_ms now = boottime_now();
    store_view from_peer;
    SECTION("the same version, read a moment ago") {
        from_peer.configuration_version = 3;
        from_peer.configuration_age_ms = 100;
        f.view->apply_peer_view(from_peer, now);
        CHECK(f.view->confirmed_at_ms() == now - 100);
        CHECK(f.view->in_force(bound_ms) != nullptr);
    }
    SECTION("read too long ago") {
        from_peer.configuration_version = 3;
        from_peer.configuration_age_ms = bound_ms;
        f.view->apply_peer_view(from_peer, now);
        CHECK(f.view->in_force(bound_ms) == nullptr);
    }
    SECTION("a newer version without its document") {
        from_peer.configuration_version = 4;
        f.view->apply_peer_view(from_peer, now);
        CHECK(f.view->in_force(bound_ms) == nullptr);
    }
    SECTION("a newer version that can't be decoded") {
        from_peer.configuration_version = 4;
        from_peer.configuration = R"({"version":4})";
        f.view->apply_peer_view(from_peer, now);
        CHECK(f.view->in_force(bound_ms) == nullptr);
    }
    SECTION("a newer version") {
        from_peer.configuration_version = 4;
        from_peer.configuration = make_document(4).dump();
        f.view->apply_peer_view(from_peer, now);
        REQUIRE(f.view->in_force(bound_ms) != nullptr);
        CHECK(f.view->in_force(bound_ms)->version == 4);
    }
    // What a peer confirmed isn't passed on as read from the store.
    CHECK(f.view->view_for_peer(3)->configuration_age_ms >= bound_ms);
}
