#include "configuration_changes.h"

#include <algorithm>

namespace fulmarworks::soak {

namespace {

/** As in the settings of the entry hosts. */
constexpr time_ms bound_ms = 2000;
constexpr const char* host_header = "changes.example";
constexpr const char* lasting_route = "lasting";
constexpr const char* lasting_key = "lasting-key";
constexpr const char* never_published = "never-published";
/** Number of added routes and keys that the configuration contains at a time, and of removed ones
 * that are called; more than a series of changes adds within the bound. */
constexpr std::size_t kept_entries = 40;
constexpr time_ms call_timeout_ms = 10'000;
constexpr time_ms series_interval_ms = 330;

json make_route(const std::string& name) {
    return {{"name", name},       {"host", host_header},     {"pathPrefix", "/" + name + "/"},
            {"service", "pool"},  {"priority", 0},           {"maxAttempts", 4},
            {"slackFactor", 2.0}, {"targetLatencyMs", 1000}, {"timeoutMs", 3000}};
}

/** Adds an entry, and moves the oldest one to the removed ones. */
void push(std::deque<std::string>& entries, std::deque<std::string>& removed, std::string name) {
    entries.push_back(std::move(name));
    if (entries.size() > kept_entries) {
        removed.push_back(entries.front());
        entries.pop_front();
    }
    if (removed.size() > kept_entries) {
        removed.pop_front();
    }
}

} // namespace

configuration_changes::configuration_changes(event_loop& loop, soak_store& store,
                                             std::deque<entry_host>& hosts, json base)
    : loop_(loop), store_(store), hosts_(hosts), http_(loop), history_(bound_ms),
      base_(std::move(base)) {
    change();
}

void configuration_changes::change() {
    ++version_;
    push(routes_, removed_routes_, "route-" + std::to_string(version_));
    push(keys_, removed_keys_, "key-" + std::to_string(version_));
    json document = base_;
    document["version"] = 3 * version_;
    published_version published{monotonic_now(), {lasting_route}, {lasting_key}};
    published.routes.insert(routes_.begin(), routes_.end());
    published.keys.insert(keys_.begin(), keys_.end());
    for (const auto& route : published.routes) {
        document["routes"].push_back(make_route(route));
    }
    document["tenants"].push_back({{"name", "changes"}, {"apiKeys", published.keys}});
    // First to the history, as a host may act on the version before its acknowledgement.
    history_.publish(std::move(published));
    store_.put("keyed.op", "config", document.dump());
}

void configuration_changes::schedule_changes(std::uint64_t seed, time_ms phase_ms) {
    constexpr int series_count = 4;
    constexpr std::uint64_t longest_series = 8;
    std::mt19937_64 random(seed);
    for (int i = 0; i < series_count; ++i) {
        const auto first_ms = static_cast<time_ms>(random() % static_cast<std::uint64_t>(phase_ms));
        const auto changes = static_cast<time_ms>(1 + random() % longest_series);
        for (time_ms k = 0; k < changes; ++k) {
            loop_.after(first_ms + k * series_interval_ms, [this] { change(); });
        }
    }
}

void configuration_changes::probe_every(time_ms interval_ms) {
    loop_.every(interval_ms, [this] {
        std::for_each(hosts_.begin(), hosts_.end(), [this](const auto& host) { probe(host); });
    });
}

void configuration_changes::probe(const entry_host& host) {
    constexpr unsigned kinds = 5;
    switch (random_() % kinds) {
    case 0: call(host, pick(routes_), lasting_key, nullptr); break;
    case 1: call(host, pick(removed_routes_), lasting_key, nullptr); break;
    case 2: call(host, lasting_route, pick(keys_), nullptr); break;
    case 3: call(host, lasting_route, pick(removed_keys_), nullptr); break;
    default: call(host, never_published, lasting_key, nullptr); break;
    }
}

std::string configuration_changes::pick(const std::deque<std::string>& entries) {
    return entries.empty() ? never_published : entries[random_() % entries.size()];
}

void configuration_changes::call_newest_route(const entry_host& host,
                                              const std::function<void(int)>& done) {
    call(host, routes_.back(), lasting_key, done);
}

void configuration_changes::call(const entry_host& host, const std::string& route,
                                 const std::string& key, const std::function<void(int)>& done) {
    if (!host.process) {
        if (done) {
            done(0);
        }
        return;
    }
    http_call c;
    c.address = host.caller_address;
    c.target = "/" + route + "/";
    c.headers = {{"Host", host_header}, {"X-Api-Key", key}};
    c.timeout_ms = call_timeout_ms;
    observed_call seen{
        host.name + "#" + std::to_string(host.process->id()), route, key, monotonic_now(), 0, 0};
    http_.send(c, [this, seen, done](const http_answer& answer) mutable {
        seen.status = answer.status;
        seen.answered_at = monotonic_now();
        history_.observe(seen);
        if (done) {
            done(answer.status);
        }
    });
}

} // namespace fulmarworks::soak
