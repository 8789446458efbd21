#include "power.h"

#include <algorithm>

namespace fulmarworks {

namespace {

/** Idle time after which a spare host is powered off. */
constexpr time_ms idle_time_before_power_off_ms = 5 * milliseconds_per_minute;
/** Minimum time between two rounds of power-on, so that started hosts can take effect. */
constexpr time_ms min_power_on_interval_ms = 5 * milliseconds_per_second;
constexpr int max_power_on_per_step = 32;

int hosts_needed_by_plan(const ledger_state& s, std::string_view host_pool) {
    int needed = 0;
    for (const auto& cell : s.cells) {
        if (cell.blocks.empty() && cell.host_pool == host_pool) {
            needed += cell.hosts;
        }
    }
    return needed;
}

bool can_power_on(const planning_step& p, host_index h) {
    const host& state = p.state.hosts.hosts()[h];
    return state.spare && state.status == host_status::off && !p.state.host_records[h].wanted_on;
}

int count_starting(const planning_step& p, std::string_view host_pool) {
    const auto& c = p.state.hosts;
    const auto spare = c.spare_hosts();
    return static_cast<int>(std::count_if(spare.begin(), spare.end(), [&](host_index h) {
        const host& state = c.hosts()[h];
        return state.status == host_status::starting && c.pools()[state.pool].name == host_pool;
    }));
}

void power_on_hosts(planning_step& p, const pool& target_pool, int needed, const char* why) {
    int missing = std::min(needed - count_starting(p, target_pool.name), max_power_on_per_step);
    for (const rack_index r : target_pool.racks) {
        for (const host_index h : p.state.hosts.racks()[r].hosts) {
            if (missing <= 0) {
                return;
            }
            if (can_power_on(p, h)) {
                const auto& name = p.state.hosts.hosts()[h].name;
                p.records.push_back(host_power_requested{name, true, why});
                p.planner.last_power_on_at = p.now;
                --missing;
            }
        }
    }
}

void power_off_idle_hosts(planning_step& p) {
    const auto& hosts = p.state.hosts.hosts();
    for (const host_index h : p.state.hosts.spare_hosts()) {
        const host& state = hosts[h];
        const bool idle = state.status == host_status::up && state.tasks == 0 &&
                          state.planned == 0 && p.unplaced_accelerators == 0;
        if (!idle) {
            p.planner.idle_since.erase(h);
            continue;
        }
        const time_ms since = p.planner.idle_since.try_emplace(h, p.now).first->second;
        if (p.now >= since + idle_time_before_power_off_ms) {
            p.records.push_back(host_power_requested{state.name, false, "idle"});
            p.planner.idle_since.erase(h);
        }
    }
}

} // namespace

void plan_power(planning_step& p) {
    power_off_idle_hosts(p);
    if (p.now < p.planner.last_power_on_at + min_power_on_interval_ms) {
        return;
    }
    int waiting = p.unplaced_accelerators;
    for (const auto& target_pool : p.state.hosts.pools()) {
        const int needed_by_plan = hosts_needed_by_plan(p.state, target_pool.name);
        if (needed_by_plan > 0) {
            power_on_hosts(p, target_pool, needed_by_plan, "guarantee at risk");
        }
        const host_pool* configured = find_named(p.state.config.host_pools, target_pool.name);
        if (waiting > 0 && configured != nullptr) {
            const int per_host = std::max(configured->host_capacity.accelerators, 1);
            power_on_hosts(p, target_pool, (waiting + per_host - 1) / per_host, "queued work");
            waiting -= count_starting(p, target_pool.name) * per_host;
        }
    }
}

} // namespace fulmarworks
