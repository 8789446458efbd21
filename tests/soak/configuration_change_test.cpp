#include "configuration_changes.h"
#include "free_ports.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <unistd.h>

using namespace fulmarworks;
using namespace fulmarworks::soak;

namespace {

/** As in the settings of the entry hosts. */
constexpr time_ms bound_ms = 2000;
constexpr double small_share = 0.12;
constexpr time_ms probe_interval_ms = 40;
/** What the store sends to all hosts together: the links of two small hosts of 20 Mbit/s. */
constexpr std::size_t read_bytes_per_second = 5'000'000;

/** A configuration of 350 routes. */
json large_configuration() {
    constexpr int route_count = 350;
    json routes = json::array();
    for (int i = 0; i < route_count; ++i) {
        const std::string name = "unchanged-" + std::to_string(i);
        routes.push_back({{"name", name},
                          {"host", "unchanged.example"},
                          {"pathPrefix", "/" + name + "/"},
                          {"type", "non_idempotent"},
                          {"service", "pool"},
                          {"priority", 0},
                          {"maxAttempts", 4},
                          {"slackFactor", 2.0},
                          {"targetLatencyMs", 1000},
                          {"timeoutMs", 3000},
                          {"public", false}});
    }
    return {{"routes", routes},
            {"services", json::array({{{"name", "pool"}}})},
            {"tenants", json::array()}};
}

/** Entry hosts as processes, each held to a small share of a core, and callers that ask each. */
struct change_fixture {
    event_loop loop;
    soak_store store{loop};
    cpu_quota quota;
    std::string directory = std::filesystem::temp_directory_path().string() +
                            "/fulmarworks-configuration-" + std::to_string(getpid());
    std::deque<entry_host> hosts;
    configuration_changes changes{loop, store, hosts, large_configuration()};
    time_ms change_interval_ms = 330;

    explicit change_fixture(int host_count) {
        std::filesystem::create_directories(directory);
        const int port = find_free_ports(1 + host_count * ports_per_host);
        REQUIRE(store.listen(loopback(port)));
        for (int i = 0; i < host_count; ++i) {
            hosts.push_back(make_entry_host(loop, "entry-" + std::to_string(i), directory,
                                            port + 1 + i * ports_per_host, loopback(port),
                                            small_share));
            hosts.back().quota = &quota;
            start_process(hosts.back());
        }
        changes.probe_every(probe_interval_ms);
        run_for(bound_ms);
    }

    ~change_fixture() {
        std::for_each(hosts.begin(), hosts.end(), end_process);
        std::filesystem::remove_all(directory);
    }
    change_fixture(const change_fixture&) = delete;
    change_fixture& operator=(const change_fixture&) = delete;

    void run_for(time_ms duration_ms) {
        loop.run_until([] { return false; }, duration_ms);
    }

    /** Changes the configuration again and again for a time. */
    void change_for(time_ms duration_ms) {
        const time_ms end = monotonic_now() + duration_ms;
        while (monotonic_now() < end) {
            changes.change();
            run_for(change_interval_ms);
        }
    }

    static void restart(entry_host& host) {
        end_process(host);
        start_process(host);
    }

    /** Returns the status with which each host answers a call of the newest route. */
    std::vector<int> call_newest_route() {
        std::vector<int> answers;
        for (const auto& host : hosts) {
            changes.call_newest_route(host, [&](int status) { answers.push_back(status); });
        }
        loop.run_until([&] { return answers.size() == hosts.size(); }, bound_ms);
        return answers;
    }
};

} // namespace

// Hosts that were late answered calls of a route that had been added with 404, and served removed
// ones: the first part of what they had missed counted as all of it.
TEST_CASE("hosts don't handle calls under an old configuration while it changes without a pause") {
    constexpr int host_count = 6;
    change_fixture f(host_count);
    f.store.set_read_rate(read_bytes_per_second);
    f.change_for(1000);
    // More than one read of the store returns is written while the hosts are paused.
    f.change_interval_ms = 100;
    set_paused(f.hosts[0], true);
    set_paused(f.hosts[1], true);
    f.change_for(5000);
    set_paused(f.hosts[0], false);
    f.change_for(300);
    set_paused(f.hosts[1], false);
    f.change_interval_ms = 330;
    f.hosts[2].store_proxy->set_fault(proxy_fault::cut, 0, false);
    for (const std::size_t i : {3, 4, 3}) {
        f.change_for(500);
        change_fixture::restart(f.hosts[i]);
    }
    f.hosts[2].store_proxy->set_fault(proxy_fault::none, 0, false);
    f.store.set_mode(store_mode::silent, 0);
    f.change_for(2500);
    f.store.trim_history();
    f.store.set_mode(store_mode::up, 0);
    f.change_for(3000);
    f.run_for(bound_ms);
    CHECK(f.call_newest_route() == std::vector<int>(host_count, 200));
    CHECK(f.changes.history().violations() == std::vector<std::string>());
    // Calls were handled, so that the history was checked.
    constexpr int enough_calls = 300;
    for (const int status : {200, 401, 404}) {
        INFO(status);
        CHECK(f.changes.history().handled().at(status) >= enough_calls);
    }
}

// Each read of the version that couldn't be decoded confirmed the one before.
TEST_CASE("hosts refuse calls once they can't decode the newest configuration") {
    change_fixture f(2);
    REQUIRE(f.call_newest_route() == std::vector<int>(2, 200));
    f.store.put("keyed.op", "config", R"({"version":1000})");
    f.run_for(bound_ms);
    CHECK(f.call_newest_route() == std::vector<int>(2, 503));
}
