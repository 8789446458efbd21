#include "power.h"

#include <algorithm>

namespace fulmarworks {

namespace {

/** Idle time before a spare host is switched off again. */
constexpr time_ms idle_before_off_ms = 5 * milliseconds_per_minute;
/** Pause between two rounds of switching on, so that started hosts can take effect. */
constexpr time_ms pause_between_starts_ms = 5 * milliseconds_per_second;
constexpr int max_starts_per_step = 32;

int wanted_hosts_for_plan(const ledger_state& s, std::string_view host_pool) {
    int wanted = 0;
    for (const auto& cell : s.cells) {
        if (cell.blocks.empty() && cell.host_pool == host_pool) {
            wanted += cell.hosts;
        }
    }
    return wanted;
}

bool is_startable(const planning& p, host_index h) {
    const host& state = p.state.hosts.hosts()[h];
    return state.spare && state.status == host_status::off && !p.state.host_records[h].wanted_on;
}

int count_starting(const planning& p, std::string_view host_pool) {
    const auto& c = p.state.hosts;
    const auto spare = c.spare_hosts();
    return static_cast<int>(std::count_if(spare.begin(), spare.end(), [&](host_index h) {
        const host& state = c.hosts()[h];
        return state.status == host_status::starting && c.pools()[state.pool].name == host_pool;
    }));
}

void start_hosts(planning& p, const pool& where, int wanted, const char* why) {
    int missing = std::min(wanted - count_starting(p, where.name), max_starts_per_step);
    for (const rack_index r : where.racks) {
        for (const host_index h : p.state.hosts.racks()[r].hosts) {
            if (missing <= 0) {
                return;
            }
            if (is_startable(p, h)) {
                const auto& name = p.state.hosts.hosts()[h].name;
                p.records.push_back(host_power_requested{name, true, why});
                p.memory.power_changed_at = p.now;
                --missing;
            }
        }
    }
}

void stop_idle_hosts(planning& p) {
    const auto& hosts = p.state.hosts.hosts();
    for (const host_index h : p.state.hosts.spare_hosts()) {
        const host& state = hosts[h];
        const bool idle = state.status == host_status::up && state.tasks == 0 &&
                          state.planned == 0 && p.waiting_accelerators == 0;
        if (!idle) {
            p.memory.idle_since.erase(h);
            continue;
        }
        const time_ms since = p.memory.idle_since.try_emplace(h, p.now).first->second;
        if (p.now >= since + idle_before_off_ms) {
            p.records.push_back(host_power_requested{state.name, false, "idle"});
            p.memory.idle_since.erase(h);
        }
    }
}

} // namespace

void plan_power(planning& p) {
    stop_idle_hosts(p);
    if (p.now < p.memory.power_changed_at + pause_between_starts_ms) {
        return;
    }
    int waiting = p.waiting_accelerators;
    for (const auto& where : p.state.hosts.pools()) {
        const int for_plan = wanted_hosts_for_plan(p.state, where.name);
        if (for_plan > 0) {
            start_hosts(p, where, for_plan, "guarantee at risk");
        }
        const host_pool* configured = find_named(p.state.config.host_pools, where.name);
        if (waiting > 0 && configured != nullptr) {
            const int per_host = std::max(configured->host_capacity.accelerators, 1);
            start_hosts(p, where, (waiting + per_host - 1) / per_host, "queued work");
            waiting -= count_starting(p, where.name) * per_host;
        }
    }
}

} // namespace fulmarworks
