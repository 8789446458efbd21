#pragma once

#include "base/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fulmarworks::soak {

/** What one version of the operator's configuration allows callers. */
struct published_version {
    /** Time at which the store acknowledged it. */
    time_ms acknowledged_at = 0;
    std::set<std::string> routes;
    std::set<std::string> keys;
};

/** A call of a route, as its caller saw it. */
struct observed_call {
    /** Name of one incarnation of a host. */
    std::string host;
    std::string route;
    std::string key;
    time_ms sent_at = 0;
    time_ms answered_at = 0;
    /** HTTP status; only 200, 401 and 404 tell of a configuration. */
    int status = 0;
};

/**
 * Checks that entry hosts handle calls under the operator's newest configuration: a call that was
 * sent later than a bound after the acknowledgement of a version isn't handled as only an older
 * version allows; nor, in one incarnation of a host, is a call that was sent after another one has
 * shown a newer version to be in force there. Hosts have to refuse calls otherwise, so this is
 * checked for all hosts, whether or not faults have kept them from the store. Not thread safe.
 */
class configuration_history {
public:
    explicit configuration_history(time_ms bound_ms) : bound_ms_(bound_ms) {}

    void publish(published_version version) { versions_.push_back(std::move(version)); }

    /** Checks a call. Precondition: a version has been published. */
    void observe(const observed_call& call);

    [[nodiscard]] const std::vector<published_version>& versions() const { return versions_; }

    /** Returns one line for each violation. */
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

    /** Returns how many calls were handled, by HTTP status. */
    [[nodiscard]] const std::map<int, int>& handled() const { return handled_; }

private:
    /** A call that a host handled as no version before `version` allows. */
    struct shown_version {
        time_ms answered_at = 0;
        std::size_t version = 0;
    };

    [[nodiscard]] std::size_t oldest_allowed(const observed_call& call) const;

    time_ms bound_ms_ = 0;
    std::vector<published_version> versions_;
    std::map<std::string, std::vector<shown_version>> shown_;
    std::vector<std::string> violations_;
    std::map<int, int> handled_;
};

} // namespace fulmarworks::soak
