#include "plan_maintenance.h"

#include <algorithm>

namespace fulmarworks {

namespace {

bool is_preemptible(const ledger_state& s, const job& j) {
    const job_class* c = class_of(s, j);
    return c != nullptr && c->preempt != preemption::none;
}

} // namespace

void detach_from_cell(ledger_state& s, job& j) {
    const bool pinned = !is_preemptible(s, j);
    for (const auto& member : j.members) {
        if (member.outcome == task_outcome::none) {
            s.hosts.release(member.where, j.request.shape, j.pinned);
            s.hosts.allocate(member.where, j.request.shape, pinned);
        }
    }
    j.pinned = pinned;
    j.cell.clear();
}

namespace {

/** Detaches the jobs of a moved cell. They run on the hosts of its previous blocks. */
void detach_jobs_from_moved_cell(ledger_state& s, const guarantee_cell& old) {
    for (const auto& b : old.blocks) {
        const std::set<std::string> on_host = s.jobs_by_host[b.host];
        for (const auto& id : on_host) {
            job& j = s.jobs.at(id);
            if (j.cell == old.name) {
                detach_from_cell(s, j);
            }
        }
    }
}

} // namespace

void refresh_reclaim_plan(apply_context& ctx) {
    ledger_state& s = ctx.state;
    const std::vector<guarantee_cell> before = s.cells;
    update_reclaim_plan(s.hosts, s.cells);
    bool moved = false;
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (!before[i].blocks.empty() && before[i].blocks != s.cells[i].blocks) {
            detach_jobs_from_moved_cell(s, before[i]);
            increment_counter(ctx, "guarantee_replanned");
            moved = true;
        }
    }
    if (moved) {
        update_reclaim_plan(s.hosts, s.cells);
    }
}

void refresh_reclaim_plan_if_at_risk(apply_context& ctx) {
    const bool at_risk = std::any_of(ctx.state.cells.begin(), ctx.state.cells.end(),
                                     [](const auto& cell) { return cell.blocks.empty(); });
    if (at_risk) {
        refresh_reclaim_plan(ctx);
    }
}

} // namespace fulmarworks
