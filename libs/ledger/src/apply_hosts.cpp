#include "fold.h"
#include "job_lifecycle.h"
#include "ownership.h"
#include "plan_upkeep.h"
#include "topology.h"

namespace fulmarworks {

namespace {

/** Ends every task that ran on the host as lost. */
void lose_tasks(fold& f, host_index h) {
    const std::set<std::string> affected = f.state.jobs_by_host[h];
    for (const auto& id : affected) {
        job& j = f.state.jobs.at(id);
        for (int i = 0; i < static_cast<int>(j.members.size()); ++i) {
            if (j.members[i].where.host == h && j.members[i].outcome == task_outcome::none) {
                end_member(f, j, i, task_outcome::lost);
            }
        }
        note(f, j, "worker lost: " + f.state.hosts.hosts()[h].name);
        settle(f, j);
    }
}

/** Urgent repeatable work does not wait to learn what became of its worker. */
void move_urgent_tasks(fold& f, host_index h) {
    const std::set<std::string> affected = f.state.jobs_by_host[h];
    for (const auto& id : affected) {
        job& j = f.state.jobs.at(id);
        const job_class* c = class_of(f.state, j);
        const bool movable = c != nullptr && c->priority == urgency::urgent && c->repeatable &&
                             j.members.size() == 1 && j.phase == job_phase::placed;
        if (movable) {
            end_member(f, j, 0, task_outcome::lost);
            settle(f, j);
        }
    }
}

bool is_usable(host_status status) {
    return status == host_status::up || status == host_status::suspect ||
           status == host_status::leaving;
}

void apply_document_outcome(fold& f, publish_outcome outcome) {
    auto& publishes = f.state.publishes;
    publishes.push_back(std::move(outcome));
    if (publishes.size() > max_publish_outcomes) {
        publishes.erase(publishes.begin());
    }
    f.effects.configuration_changed = true;
}

} // namespace

void handle(fold& f, const host_reported& r) {
    ledger_state& s = f.state;
    const auto h = s.hosts.find_host(r.host);
    if (!h || s.hosts.hosts()[*h].status == host_status::removed) {
        drop(f, "unknown_host");
        return;
    }
    const rack_owner& owner = s.rack_owners[s.hosts.hosts()[*h].rack];
    if (r.owner_epoch != owner.epoch || f.header.writer != owner.instance) {
        drop(f, "stale_owner");
        return;
    }
    host_record& known = s.host_records[*h];
    const bool restarted = r.incarnation != 0 && r.incarnation != known.incarnation;
    if (restarted || !is_usable(r.status)) {
        lose_tasks(f, *h);
    }
    if (r.incarnation != 0) {
        known.incarnation = r.incarnation;
    }
    s.hosts.set_status(*h, r.status);
    if (r.status == host_status::suspect) {
        move_urgent_tasks(f, *h);
    }
    count(f, "host_reported." + std::string(to_string(r.status)));
    refresh_plan(f);
    f.effects.hosts.push_back(*h);
}

void handle(fold& f, const host_power_requested& r) {
    const auto h = f.state.hosts.find_host(r.host);
    if (!h || f.state.host_records[*h].wanted_on == r.on) {
        drop(f, "no_power_change");
        return;
    }
    if (!r.on && f.state.hosts.hosts()[*h].tasks > 0) {
        drop(f, "host_in_use");
        return;
    }
    f.state.host_records[*h].wanted_on = r.on;
    f.state.hosts.set_status(*h, r.on ? host_status::starting : host_status::off);
    count(f, r.on ? "host_power.on" : "host_power.off");
    refresh_plan(f);
    f.effects.hosts.push_back(*h);
}

void handle(fold& f, const config_published& r) {
    ledger_state& s = f.state;
    if (find_publish(s, r.publish_id) != nullptr) {
        drop(f, "repeated_publish");
        return;
    }
    if (r.based_on != s.config_version) {
        count(f, "refused.version_conflict");
        apply_document_outcome(f, {r.publish_id, false, s.config_version, {}});
        return;
    }
    std::vector<configuration_fault> faults;
    configuration candidate = evaluate_document(s.config, r.document, faults);
    if (!faults.empty()) {
        count(f, "refused.faulty_configuration");
        apply_document_outcome(f, {r.publish_id, false, s.config_version, std::move(faults)});
        return;
    }
    const bool new_pools = s.config.host_pools != candidate.host_pools;
    const bool new_guarantees = s.config.guarantees != candidate.guarantees;
    const bool new_regions = s.config.failure_domains != candidate.failure_domains;
    s.config = std::move(candidate);
    ++s.config_version;
    if (new_pools) {
        apply_topology(s);
    }
    if (new_pools || new_guarantees) {
        apply_guarantees(s);
        refresh_plan(f);
    }
    if (new_pools || new_regions) {
        assign_rack_owners(f);
    }
    apply_document_outcome(f, {r.publish_id, true, s.config_version, {}});
}

} // namespace fulmarworks
