#include "topology.h"

#include "job_lifecycle.h"
#include "plan_maintenance.h"

namespace fulmarworks {

namespace {

rack_index rack_for(cluster& c, const host_pool& configured, const rack_description& r) {
    if (const auto found = c.find_rack(r.name)) {
        return *found;
    }
    const auto known = c.find_pool(configured.name);
    const pool_index p = known ? *known : c.add_pool(configured.name, configured.failure_domain);
    return c.add_rack(p, r.name);
}

void add_or_restore_host(ledger_state& s, rack_index r, const std::string& name,
                         const task_shape& capacity, bool spare) {
    const auto known = s.hosts.find_host(name);
    if (!known) {
        s.hosts.add_host(r, name, capacity, spare);
        s.host_records.emplace_back().wanted_on = !spare;
    } else if (s.hosts.hosts()[*known].status == host_status::removed) {
        s.hosts.set_status(*known, host_status::off);
    }
}

bool is_same_guarantee(const guarantee_cell& a, const guarantee_cell& b) {
    return a.name == b.name && a.client_account == b.client_account && a.host_pool == b.host_pool &&
           a.hosts == b.hosts && a.accelerators_per_host == b.accelerators_per_host;
}

void restore_planned_blocks(ledger_state& s) {
    for (const auto& cell : s.cells) {
        for (const auto& b : cell.blocks) {
            s.hosts.set_planned(b.host, s.hosts.hosts()[b.host].planned | mask_of(b));
        }
    }
    for (auto& cell : s.cells) {
        if (!cell.claimed_by.empty()) {
            set_claim(s.hosts, s.cells, cell, cell.claimed_by);
        }
    }
}

} // namespace

void apply_topology(ledger_state& s) {
    std::set<std::string> named;
    for (const auto& configured : s.config.host_pools) {
        for (const auto& r : configured.racks) {
            const rack_index index = rack_for(s.hosts, configured, r);
            for (int i = 0; i < r.hosts; ++i) {
                const std::string name = host_name(r.name, i);
                const bool spare = i >= r.hosts - r.spare_hosts;
                named.insert(name);
                add_or_restore_host(s, index, name, configured.host_capacity, spare);
            }
        }
    }
    for (host_index h = 0; h < s.hosts.hosts().size(); ++h) {
        if (!named.contains(s.hosts.hosts()[h].name)) {
            s.hosts.set_status(h, host_status::removed);
        }
    }
    s.jobs_by_host.resize(s.hosts.hosts().size());
    s.rack_owners.resize(s.hosts.racks().size());
}

void apply_guarantees(ledger_state& s) {
    std::vector<guarantee_cell> cells = make_guarantee_cells(s.config);
    for (auto& old : s.cells) {
        bool kept = false;
        for (auto& cell : cells) {
            if (is_same_guarantee(old, cell)) {
                cell.blocks = old.blocks;
                cell.claimed_by = old.claimed_by;
                kept = true;
            }
        }
        if (kept) {
            continue;
        }
        set_claim(s.hosts, s.cells, old, "");
        for (const auto& b : old.blocks) {
            s.hosts.set_planned(b.host, s.hosts.hosts()[b.host].planned & ~mask_of(b));
        }
    }
    s.cells = std::move(cells);
    for (auto& [id, j] : s.jobs) {
        const bool has_cell = !j.cell.empty() && !is_final(j.phase);
        if (!has_cell || find_named(s.cells, j.cell) != nullptr) {
            continue;
        }
        detach_from_cell(s, j);
    }
}

void rebuild_derived(ledger_state& s) {
    s.jobs_by_host.assign(s.hosts.hosts().size(), {});
    for (auto& [id, j] : s.jobs) {
        if (j.phase == job_phase::queued) {
            enqueue(s, j);
        } else if (is_final(j.phase)) {
            s.finished.insert({j.ended_at, id});
        } else {
            allocate_members(s, j);
        }
    }
    restore_planned_blocks(s);
    for (host_index h = 0; h < s.host_records.size(); ++h) {
        s.hosts.set_probation(h, s.host_records[h].on_probation);
        if (s.hosts.hosts()[h].quarantined) {
            s.quarantined.insert({s.host_records[h].quarantined_until, h});
        }
    }
}

} // namespace fulmarworks
