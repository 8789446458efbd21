#include "apply_context.h"
#include "host_crashes.h"
#include "job_lifecycle.h"
#include "ownership.h"
#include "plan_maintenance.h"
#include "topology.h"

namespace fulmarworks {

namespace {

/** What is known of a host whose tasks are over. */
enum class host_loss {
    restarted,
    silent,
    left, // in an orderly way
};

/** Ends the tasks on the host with the outcome `lost`. */
void end_tasks_as_lost(apply_context& ctx, host_index h, host_loss loss) {
    const std::set<std::string> affected = ctx.state.jobs_by_host[h];
    for (const auto& id : affected) {
        job& j = ctx.state.jobs.at(id);
        for (int i = 0; i < static_cast<int>(j.members.size()); ++i) {
            if (j.members[i].where.host == h && j.members[i].outcome == task_outcome::none) {
                end_member(ctx, j, i, task_outcome::lost);
            }
        }
        if (loss != host_loss::left) {
            record_lost_host(ctx, j, h, loss == host_loss::restarted);
        }
        add_decision(ctx, j, "worker lost: " + ctx.state.hosts.hosts()[h].name);
        resolve_attempt(ctx, j);
    }
}

/** Requeues urgent repeatable tasks without waiting until the suspect host answers or is lost. */
void requeue_urgent_tasks(apply_context& ctx, host_index h) {
    const std::set<std::string> affected = ctx.state.jobs_by_host[h];
    for (const auto& id : affected) {
        job& j = ctx.state.jobs.at(id);
        const job_class* c = class_of(ctx.state, j);
        const bool can_requeue = c != nullptr && c->priority == urgency::urgent && c->repeatable &&
                                 j.members.size() == 1 && j.phase == job_phase::placed;
        if (can_requeue) {
            end_member(ctx, j, 0, task_outcome::lost);
            record_lost_host(ctx, j, h, false);
            resolve_attempt(ctx, j);
        }
    }
}

bool may_run_tasks(host_status status) {
    return status == host_status::up || status == host_status::suspect ||
           status == host_status::leaving;
}

void record_publish_outcome(apply_context& ctx, publish_outcome outcome) {
    auto& publishes = ctx.state.publishes;
    publishes.push_back(std::move(outcome));
    if (publishes.size() > max_publish_outcomes) {
        publishes.erase(publishes.begin());
    }
    ctx.effects.configuration_changed = true;
}

} // namespace

void handle(apply_context& ctx, const host_reported& r) {
    ledger_state& s = ctx.state;
    const auto h = s.hosts.find_host(r.host);
    if (!h || s.hosts.hosts()[*h].status == host_status::removed) {
        drop(ctx, "unknown_host");
        return;
    }
    const rack_owner& owner = s.rack_owners[s.hosts.hosts()[*h].rack];
    if (r.owner_epoch != owner.epoch || ctx.header.writer != owner.instance) {
        drop(ctx, "stale_owner");
        return;
    }
    host_record& known = s.host_records[*h];
    const bool restarted = r.incarnation != 0 && r.incarnation != known.incarnation;
    if (restarted) {
        end_tasks_as_lost(ctx, *h, host_loss::restarted);
    } else if (!may_run_tasks(r.status)) {
        end_tasks_as_lost(ctx, *h,
                          r.status == host_status::lost ? host_loss::silent : host_loss::left);
    }
    if (r.incarnation != 0) {
        known.incarnation = r.incarnation;
        resolve_lost_host(ctx, *h, r.incarnation);
    }
    s.hosts.set_status(*h, r.status);
    if (r.status == host_status::suspect) {
        requeue_urgent_tasks(ctx, *h);
    }
    increment_counter(ctx, "host_reported." + std::string(to_string(r.status)));
    refresh_reclaim_plan(ctx);
    ctx.effects.hosts.push_back(*h);
}

void handle(apply_context& ctx, const host_power_requested& r) {
    const auto h = ctx.state.hosts.find_host(r.host);
    if (!h || ctx.state.host_records[*h].wanted_on == r.on) {
        drop(ctx, "no_power_change");
        return;
    }
    if (!r.on && ctx.state.hosts.hosts()[*h].tasks > 0) {
        drop(ctx, "host_in_use");
        return;
    }
    ctx.state.host_records[*h].wanted_on = r.on;
    ctx.state.hosts.set_status(*h, r.on ? host_status::starting : host_status::off);
    increment_counter(ctx, r.on ? "host_power.on" : "host_power.off");
    refresh_reclaim_plan(ctx);
    ctx.effects.hosts.push_back(*h);
}

void handle(apply_context& ctx, const config_published& r) {
    ledger_state& s = ctx.state;
    if (find_publish(s, r.publish_id) != nullptr) {
        drop(ctx, "repeated_publish");
        return;
    }
    if (r.based_on != s.config_version) {
        increment_counter(ctx, "refused.version_conflict");
        record_publish_outcome(ctx, {r.publish_id, false, s.config_version, {}});
        return;
    }
    std::vector<configuration_fault> faults;
    configuration candidate = evaluate_document(s.config, r.document, faults);
    if (!faults.empty()) {
        increment_counter(ctx, "refused.faulty_configuration");
        record_publish_outcome(ctx, {r.publish_id, false, s.config_version, std::move(faults)});
        return;
    }
    const bool pools_changed = s.config.host_pools != candidate.host_pools;
    const bool guarantees_changed = s.config.guarantees != candidate.guarantees;
    const bool regions_changed = s.config.failure_domains != candidate.failure_domains;
    s.config = std::move(candidate);
    ++s.config_version;
    if (pools_changed) {
        apply_topology(s);
    }
    if (pools_changed || guarantees_changed) {
        apply_guarantees(s);
        refresh_reclaim_plan(ctx);
    }
    if (pools_changed || regions_changed) {
        assign_rack_owners(ctx);
    }
    record_publish_outcome(ctx, {r.publish_id, true, s.config_version, {}});
}

} // namespace fulmarworks
