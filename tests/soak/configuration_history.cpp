#include "configuration_history.h"

#include <algorithm>

namespace fulmarworks::soak {

namespace {

/** Time within which a host may go back to an older version after a call has shown a newer one. */
constexpr time_ms rollback_slack_ms = 250;

int status_under(const published_version& v, const observed_call& call) {
    if (!v.routes.contains(call.route)) {
        return 404;
    }
    return v.keys.contains(call.key) ? 200 : 401;
}

} // namespace

std::size_t configuration_history::oldest_allowed(const observed_call& call) const {
    std::size_t oldest = 0;
    for (std::size_t i = 0; i < versions_.size(); ++i) {
        if (versions_[i].acknowledged_at + bound_ms_ < call.sent_at) {
            oldest = i;
        }
    }
    const auto shown = shown_.find(call.host);
    if (shown != shown_.end()) {
        for (const auto& s : shown->second) {
            if (s.answered_at + rollback_slack_ms < call.sent_at) {
                oldest = std::max(oldest, s.version);
            }
        }
    }
    return oldest;
}

void configuration_history::observe(const observed_call& call) {
    if (call.status != 200 && call.status != 401 && call.status != 404) {
        return;
    }
    ++handled_[call.status];
    const std::size_t oldest = oldest_allowed(call);
    for (std::size_t i = oldest; i < versions_.size(); ++i) {
        if (status_under(versions_[i], call) == call.status) {
            shown_[call.host].push_back({call.answered_at, i});
            return;
        }
    }
    violations_.push_back(call.host + " answered " + std::to_string(call.status) + " to " +
                          call.route + " with " + call.key + ", sent " +
                          std::to_string(call.sent_at - versions_[oldest].acknowledged_at) +
                          " ms after version " + std::to_string(oldest) + " of " +
                          std::to_string(versions_.size() - 1));
}

} // namespace fulmarworks::soak
