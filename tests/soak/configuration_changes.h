#pragma once

#include "base/json.h"
#include "configuration_history.h"
#include "entry_host.h"
#include "http/http_client.h"
#include "soak_store.h"

#include <deque>
#include <functional>
#include <random>
#include <string>
#include <utility>

namespace fulmarworks::soak {

/**
 * The platform's operator, who changes the configuration, and callers that ask each entry host
 * directly for calls that tell its versions apart: of routes and with keys that were added or
 * removed, and of a route that was never published. Not thread safe.
 */
class configuration_changes {
public:
    /**
     * Writes `base`, with an account and a route of its own. Preconditions: all references outlive
     * the object; `base` is a valid configuration.
     */
    configuration_changes(event_loop& loop, soak_store& store, std::deque<entry_host>& hosts,
                          json base);

    /** Writes a version that adds a route and a key, and removes the oldest ones. */
    void change();

    /** Schedules changes at random times of a phase that begins now, some of them in series. */
    void schedule_changes(std::uint64_t seed, time_ms phase_ms);

    /** Calls a route of each host at random, every `interval_ms`, from now on. */
    void probe_every(time_ms interval_ms);

    /** Calls the newest route of a host; `done` gets the HTTP status, 0 without an answer. */
    void call_newest_route(const entry_host& host, const std::function<void(int)>& done);

    [[nodiscard]] const configuration_history& history() const { return history_; }

private:
    void probe(const entry_host& host);
    void call(const entry_host& host, const std::string& route, const std::string& key,
              const std::function<void(int)>& done);
    [[nodiscard]] std::string pick(const std::deque<std::string>& entries);

    event_loop& loop_;
    soak_store& store_;
    std::deque<entry_host>& hosts_;
    http_client http_;
    configuration_history history_;
    json base_;
    std::mt19937 random_{1};
    int version_ = 0;
    std::deque<std::string> routes_;
    std::deque<std::string> keys_;
    std::deque<std::string> removed_routes_;
    std::deque<std::string> removed_keys_;
};

} // namespace fulmarworks::soak
