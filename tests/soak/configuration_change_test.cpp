#include "configuration_history.h"
#include "entry_host.h"
#include "free_ports.h"
#include "soak_client.h"
#include "soak_store.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <deque>
#include <filesystem>
#include <random>
#include <unistd.h>

using namespace fulmarworks;
using namespace fulmarworks::soak;

namespace {

/** As in the settings of the entry hosts. */
constexpr time_ms bound_ms = 2000;
constexpr double small_share = 0.12;
constexpr const char* topic_name = "keyed.op";
constexpr const char* host_header = "soak.example";
constexpr const char* lasting_route = "lasting";
constexpr const char* lasting_key = "lasting-key";
constexpr int unchanged_routes = 350;
/** Number of added routes and keys that the configuration contains at a time, and of removed ones
 * that are called; more than are added within the bound. */
constexpr std::size_t kept_entries = 40;
constexpr time_ms probe_interval_ms = 40;
/** What the store sends to all hosts together: the links of two small hosts of 20 Mbit/s. */
constexpr std::size_t read_bytes_per_second = 5'000'000;

json make_route(const std::string& name) {
    return {{"name", name},
            {"host", host_header},
            {"pathPrefix", "/" + name + "/"},
            {"type", "non_idempotent"},
            {"service", "pool"},
            {"priority", 0},
            {"maxAttempts", 4},
            {"slackFactor", 2.0},
            {"targetLatencyMs", 1000},
            {"timeoutMs", 3000},
            {"public", false}};
}

/** Writes configurations of which each adds a route and a key and removes others. */
class operator_standin {
public:
    operator_standin(soak_store& store, configuration_history& history)
        : store_(store), history_(history) {}

    void change() {
        ++version_;
        push(routes_, removed_routes_, "route");
        push(keys_, removed_keys_, "key");
        json routes = json::array({make_route(lasting_route)});
        published_version published{0, {lasting_route}, {lasting_key}};
        for (const auto& name : routes_) {
            routes.push_back(make_route(name));
            published.routes.insert(name);
        }
        for (int i = 0; i < unchanged_routes; ++i) {
            routes.push_back(make_route("unchanged-" + std::to_string(i)));
        }
        json keys = json::array({lasting_key});
        for (const auto& key : keys_) {
            keys.push_back(key);
            published.keys.insert(key);
        }
        const json document = {{"version", 3 * version_},
                               {"routes", routes},
                               {"services", json::array({{{"name", "pool"}}})},
                               {"tenants", json::array({{{"name", "a"}, {"apiKeys", keys}}})}};
        // Published before the store has it, as a host may act on it before the acknowledgement.
        published.acknowledged_at = monotonic_now();
        history_.publish(std::move(published));
        store_.put(topic_name, "config", document.dump());
    }

    /** Returns the newest route, with a key that is always valid. */
    [[nodiscard]] std::pair<std::string, std::string> newest_route() const {
        return {routes_.back(), lasting_key};
    }

    /** Returns the route and key of one of the calls that tell versions apart. */
    [[nodiscard]] std::pair<std::string, std::string> probe(std::size_t number) const {
        const auto pick = [number](const std::deque<std::string>& entries) {
            return entries.empty() ? std::string("never-published")
                                   : entries[number / 5 % entries.size()];
        };
        switch (number % 5) {
        case 0: return {pick(routes_), lasting_key};
        case 1: return {pick(removed_routes_), lasting_key};
        case 2: return {lasting_route, pick(keys_)};
        case 3: return {lasting_route, pick(removed_keys_)};
        default: return {"never-published", lasting_key};
        }
    }

private:
    /** Adds an entry, and moves the oldest one to the removed ones. */
    void push(std::deque<std::string>& entries, std::deque<std::string>& removed,
              const std::string& name) const {
        entries.push_back(name + "-" + std::to_string(version_));
        if (entries.size() > kept_entries) {
            removed.push_back(entries.front());
            entries.pop_front();
        }
        if (removed.size() > kept_entries) {
            removed.pop_front();
        }
    }

    soak_store& store_;
    configuration_history& history_;
    int version_ = 0;
    std::deque<std::string> routes_;
    std::deque<std::string> keys_;
    std::deque<std::string> removed_routes_;
    std::deque<std::string> removed_keys_;
};

/** Entry hosts as processes, each held to a small share of a core, and a caller that asks each. */
struct change_fixture {
    event_loop loop;
    soak_store store{loop};
    cpu_quota quota;
    http_client http{loop};
    configuration_history history{bound_ms};
    operator_standin writer{store, history};
    std::string directory = std::filesystem::temp_directory_path().string() +
                            "/fulmarworks-configuration-" + std::to_string(getpid());
    std::deque<entry_host> hosts;
    time_ms change_interval_ms = 330;
    std::mt19937 random{1};

    explicit change_fixture(int host_count) {
        std::filesystem::create_directories(directory);
        const int port = find_free_ports(1 + host_count * ports_per_host);
        REQUIRE(store.listen(loopback(port)));
        writer.change();
        for (int i = 0; i < host_count; ++i) {
            hosts.push_back(make_entry_host(loop, "entry-" + std::to_string(i), directory,
                                            port + 1 + i * ports_per_host, loopback(port),
                                            small_share));
            hosts.back().quota = &quota;
            start_process(hosts.back());
        }
        loop.every(probe_interval_ms, [this] { probe_hosts(); });
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
            writer.change();
            run_for(change_interval_ms);
        }
    }

    void probe_hosts() {
        for (auto& host : hosts) {
            const auto [route, key] = writer.probe(random());
            call(host, route, key);
        }
    }

    void call(const entry_host& host, const std::string& route, const std::string& key,
              const std::function<void(int)>& done = nullptr) {
        http_call c;
        c.address = host.caller_address;
        c.target = "/" + route + "/";
        c.headers = {{"Host", host_header}, {"X-Api-Key", key}};
        c.timeout_ms = 10'000;
        observed_call seen{host.name, route, key, monotonic_now(), 0, 0};
        const pid_t process = host.process ? host.process->id() : 0;
        http.send(c, [this, &host, seen, process, done](const http_answer& answer) mutable {
            seen.status = answer.status;
            seen.answered_at = monotonic_now();
            if (host.process && host.process->id() == process) {
                history.observe(seen);
            }
            if (done) {
                done(answer.status);
            }
        });
    }

    void restart(entry_host& host) {
        end_process(host);
        history.restarted(host.name);
        start_process(host);
    }

    /** Returns the status with which each host answers a call of the newest route. */
    std::vector<int> call_newest_route() {
        std::vector<int> answers;
        const auto [route, key] = writer.newest_route();
        for (const auto& host : hosts) {
            call(host, route, key, [&](int status) { answers.push_back(status); });
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
        f.restart(f.hosts[i]);
    }
    f.hosts[2].store_proxy->set_fault(proxy_fault::none, 0, false);
    f.store.set_mode(store_mode::silent, 0);
    f.change_for(2500);
    f.store.trim_history();
    f.store.set_mode(store_mode::up, 0);
    f.change_for(3000);
    f.run_for(bound_ms);
    CHECK(f.call_newest_route() == std::vector<int>(host_count, 200));
    CHECK(f.history.violations() == std::vector<std::string>());
    // Calls were handled, so that the history was checked.
    constexpr int enough_calls = 300;
    for (const int status : {200, 401, 404}) {
        INFO(status);
        CHECK(f.history.handled().at(status) >= enough_calls);
    }
}

// Each read of the version that couldn't be decoded confirmed the one before.
TEST_CASE("hosts refuse calls once they can't decode the newest configuration") {
    change_fixture f(2);
    REQUIRE(f.call_newest_route() == std::vector<int>(2, 200));
    f.store.put(topic_name, "config", R"({"version":1000})");
    f.run_for(bound_ms);
    CHECK(f.call_newest_route() == std::vector<int>(2, 503));
}
