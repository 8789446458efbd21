#include "plan_upkeep.h"

#include <algorithm>

namespace fulmarworks {

namespace {

bool is_stoppable(const ledger_state& s, const job& j) {
    const job_class* c = class_of(s, j);
    return c != nullptr && c->preempt != preemption::none;
}

} // namespace

void leave_cell(ledger_state& s, job& j) {
    const bool pinned = !is_stoppable(s, j);
    for (const auto& member : j.members) {
        if (member.outcome == task_outcome::none) {
            s.hosts.release(member.where, j.request.shape, j.pinned);
            s.hosts.occupy(member.where, j.request.shape, pinned);
        }
    }
    j.pinned = pinned;
    j.cell.clear();
}

void refresh_plan(fold& f) {
    ledger_state& s = f.state;
    std::set<std::string> moved;
    std::map<std::string, std::vector<block>> before;
    for (const auto& cell : s.cells) {
        before[cell.name] = cell.blocks;
    }
    update_plan(s.hosts, s.cells);
    for (const auto& cell : s.cells) {
        const auto& old = before[cell.name];
        if (!old.empty() && old != cell.blocks) {
            moved.insert(cell.name);
            count(f, "guarantee_replanned");
        }
    }
    if (moved.empty()) {
        return;
    }
    for (auto& [id, j] : s.jobs) {
        if (!is_final(j.phase) && moved.contains(j.cell)) {
            leave_cell(s, j);
        }
    }
    update_plan(s.hosts, s.cells);
}

void refresh_plan_if_at_risk(fold& f) {
    const bool at_risk = std::any_of(f.state.cells.begin(), f.state.cells.end(),
                                     [](const auto& cell) { return cell.blocks.empty(); });
    if (at_risk) {
        refresh_plan(f);
    }
}

} // namespace fulmarworks
