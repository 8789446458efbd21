#include "headroom.h"

#include "job_order.h"

#include <algorithm>
#include <cmath>

namespace fulmarworks {

namespace {

constexpr double smoothing_time_ms = 60000;
/** Standard deviations by which the expected peak of urgent use exceeds its mean. */
constexpr double peak_deviations = 3;
/** Maximum share of all accelerators that is kept free. */
constexpr double max_headroom_share = 0.1;
/** Share of all accelerators that urgent jobs of an account above its share must leave free. */
constexpr double free_share_for_others = 0.05;

int free_unplanned_accelerators(const ledger_state& s) {
    int total = 0;
    for (const auto& p : s.hosts.pools()) {
        total += p.free_unplanned_accelerators;
    }
    return total;
}

} // namespace

void update_headroom(planning_step& p) {
    planner_state& m = p.planner;
    const double in_use = p.state.urgent_accelerators;
    const auto elapsed = static_cast<double>(std::max<time_ms>(p.now - m.urgent_sampled_at, 0));
    const double gain = 1 - std::exp(-elapsed / smoothing_time_ms);
    const double difference = in_use - m.urgent_mean;
    m.urgent_mean += gain * difference;
    m.urgent_variance += gain * (difference * difference - m.urgent_variance);
    m.urgent_sampled_at = p.now;
    if (!p.options.urgent_headroom) {
        return;
    }
    const double peak = m.urgent_mean + peak_deviations * std::sqrt(m.urgent_variance);
    const double limit = max_headroom_share * configured_accelerators(p.state.config);
    p.headroom = static_cast<int>(std::ceil(std::clamp(peak - in_use, 0.0, limit)));
}

bool leaves_headroom(const planning_step& p, const job& j) {
    const job_class* c = class_of(p.state, j);
    const bool is_urgent = c != nullptr && c->priority == urgency::urgent;
    int required_free = p.headroom;
    if (is_urgent) {
        const bool exceeds_share =
            p.options.fair_share && exceeds_urgent_share(p.state, j.request.client_account);
        const double share = exceeds_share && p.options.urgent_headroom ? free_share_for_others : 0;
        required_free = static_cast<int>(share * configured_accelerators(p.state.config));
    }
    return required_free == 0 || requested_accelerators(j.request) == 0 ||
           free_unplanned_accelerators(p.state) - requested_accelerators(j.request) >=
               required_free;
}

} // namespace fulmarworks
