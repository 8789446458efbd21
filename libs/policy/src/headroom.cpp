#include "headroom.h"

#include "job_order.h"

#include <algorithm>
#include <cmath>

namespace fulmarworks {

namespace {

constexpr double smoothing_ms = 60000;
constexpr double deviations_covered = 3;
/** Largest share of all accelerators that is kept free. */
constexpr double max_share = 0.1;
/** Share kept free of the urgent work of an account that holds more than its share. */
constexpr double kept_from_floods = 0.05;

int free_unplanned_accelerators(const ledger_state& s) {
    int total = 0;
    for (const auto& p : s.hosts.pools()) {
        total += p.free_unplanned_accelerators;
    }
    return total;
}

} // namespace

void update_headroom(planning& p) {
    planner_state& m = p.memory;
    const double in_use = p.state.urgent_accelerators;
    const auto elapsed = static_cast<double>(std::max<time_ms>(p.now - m.urgent_sampled_at, 0));
    const double gain = 1 - std::exp(-elapsed / smoothing_ms);
    const double difference = in_use - m.urgent_mean;
    m.urgent_mean += gain * difference;
    m.urgent_variance += gain * (difference * difference - m.urgent_variance);
    m.urgent_sampled_at = p.now;
    if (!p.options.urgent_headroom) {
        return;
    }
    const double peak = m.urgent_mean + deviations_covered * std::sqrt(m.urgent_variance);
    const double limit = max_share * total_accelerators_of(p.state.config);
    p.headroom = static_cast<int>(std::ceil(std::clamp(peak - in_use, 0.0, limit)));
}

bool leaves_headroom(const planning& p, const job& j) {
    const job_class* c = class_of(p.state, j);
    const bool is_urgent = c != nullptr && c->priority == urgency::urgent;
    int kept_free = p.headroom;
    if (is_urgent) {
        const bool floods =
            p.options.fair_share && is_over_share(p.state, j.request.client_account);
        const double share = floods && p.options.urgent_headroom ? kept_from_floods : 0;
        kept_free = static_cast<int>(share * total_accelerators_of(p.state.config));
    }
    return kept_free == 0 || total_accelerators(j.request) == 0 ||
           free_unplanned_accelerators(p.state) - total_accelerators(j.request) >= kept_free;
}

} // namespace fulmarworks
