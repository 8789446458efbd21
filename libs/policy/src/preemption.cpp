#include "preemption.h"

#include "base/digest.h"
#include "job_order.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace fulmarworks {

namespace {

/** A job that still isn't placed after this time may preempt again. */
constexpr time_ms preemption_retry_ms = 10 * milliseconds_per_second;
constexpr std::size_t max_hosts_searched = 512;
/**
 * An urgent job preempts only after this fraction (1/n) of its deadline has passed, because other
 * urgent jobs are short and often end before that.
 */
constexpr time_ms preemption_delay_divisor = 8;

bool has_preempted_recently(const planning_step& p, const job& j) {
    const auto found = p.planner.preempted_for_at.find(j.id);
    return found != p.planner.preempted_for_at.end() && p.now < found->second + preemption_retry_ms;
}

/** Returns the work lost by stopping a job now, in accelerator milliseconds. */
std::int64_t lost_work(const planning_step& p, const job& j, const job_class& c, bool checkpoint) {
    const time_ms ran = checkpoint ? c.checkpoint_ms : std::max<time_ms>(p.now - j.placed_at, 0);
    return ran * std::max(requested_accelerators(j.request), 1);
}

/** Returns the jobs that borrow from a cell; nothing if a job in the cell can't be stopped. */
std::optional<std::set<std::string>> borrowers_of(const planning_step& p,
                                                  const guarantee_cell& cell) {
    std::set<std::string> borrowers;
    for (const auto& b : cell.blocks) {
        for (const auto& id : p.state.jobs_by_host[b.host]) {
            const job& candidate = p.state.jobs.at(id);
            const bool is_in_cell =
                std::any_of(candidate.members.begin(), candidate.members.end(), [&](const auto& m) {
                    return m.where.host == b.host && (mask_of(m.where) & mask_of(b)) != 0;
                });
            if (!is_in_cell) {
                continue;
            }
            const job_class* c = class_of(p.state, candidate);
            const bool may_stop = c != nullptr && is_stoppable(*c) && candidate.cell != cell.name;
            if (!may_stop) {
                return std::nullopt;
            }
            borrowers.insert(id);
        }
    }
    return borrowers;
}

bool fits_empty_cell(const guarantee_cell& cell, const job_request& r) {
    if (r.shape.accelerators < 1) {
        return false;
    }
    const int per_host = cell.accelerators_per_host / r.shape.accelerators;
    return per_host * cell.hosts >= r.tasks;
}

struct reclaim_choice {
    const guarantee_cell* cell = nullptr;
    std::set<std::string> borrowers;
    std::int64_t lost = std::numeric_limits<std::int64_t>::max();
};

std::int64_t total_lost(const planning_step& p, const std::set<std::string>& borrowers) {
    std::int64_t total = 0;
    for (const auto& id : borrowers) {
        const job& borrower = p.state.jobs.at(id);
        const job_class* c = class_of(p.state, borrower);
        total += lost_work(p, borrower, *c, c->preempt == preemption::checkpoint);
    }
    return total;
}

reclaim_choice cheapest_cell(const planning_step& p, const job& j) {
    reclaim_choice best;
    for (const auto& cell : p.state.cells) {
        const bool usable = cell.client_account == j.request.client_account &&
                            cell.claimed_by.empty() && !cell.blocks.empty() &&
                            !p.taken_cells.contains(cell.name) && fits_empty_cell(cell, j.request);
        if (!usable) {
            continue;
        }
        auto borrowers = borrowers_of(p, cell);
        if (!borrowers || borrowers->empty()) {
            continue;
        }
        const std::int64_t lost = total_lost(p, *borrowers);
        if (lost < best.lost) {
            best = {&cell, std::move(*borrowers), lost};
        }
    }
    return best;
}

bool stopping_frees_enough(const planning_step& p, const job& victim, const job& j) {
    const block& b = victim.members.front().where;
    const host& h = p.state.hosts.hosts()[b.host];
    const accelerator_mask reserved = h.planned | h.claimed;
    const accelerator_mask all = mask_of(0, h.capacity.accelerators);
    const accelerator_mask freed = (all & ~h.used & ~reserved) | (mask_of(b) & ~reserved);
    const task_shape& shape = j.request.shape;
    const bool has_cores =
        h.used_total.cores - victim.request.shape.cores + shape.cores <= h.capacity.cores &&
        h.used_total.memory_gb - victim.request.shape.memory_gb + shape.memory_gb <=
            h.capacity.memory_gb;
    return has_cores && longest_run(freed) >= shape.accelerators;
}

struct victim_choice {
    const job* victim = nullptr;
    bool checkpoint_first = false;
    std::int64_t lost = std::numeric_limits<std::int64_t>::max();
};

void update_cheapest_victim(const planning_step& p, const job& candidate, const job& j,
                            time_ms time_left, victim_choice& best) {
    const job_class* c = class_of(p.state, candidate);
    const bool may_stop = c != nullptr && is_stoppable(*c) &&
                          candidate.phase == job_phase::placed && candidate.members.size() == 1 &&
                          !p.stopped_jobs.contains(candidate.id);
    if (!may_stop || !stopping_frees_enough(p, candidate, j)) {
        return;
    }
    const bool checkpoint = c->preempt == preemption::checkpoint && c->checkpoint_ms < time_left;
    const std::int64_t lost = lost_work(p, candidate, *c, checkpoint);
    if (lost < best.lost) {
        best = {&candidate, checkpoint, lost};
    }
}

victim_choice cheapest_victim(const planning_step& p, const job& j, time_ms time_left) {
    victim_choice best;
    const std::size_t hosts = p.state.hosts.hosts().size();
    const std::size_t first = hosts == 0 ? 0 : hash64(j.id) % hosts;
    for (std::size_t i = 0; i < std::min(hosts, max_hosts_searched); ++i) {
        const auto h = static_cast<host_index>((first + i) % hosts);
        if (!p.state.hosts.is_schedulable(h)) {
            continue;
        }
        for (const auto& id : p.state.jobs_by_host[h]) {
            update_cheapest_victim(p, p.state.jobs.at(id), j, time_left, best);
        }
    }
    return best;
}

} // namespace

bool reclaim_cell(planning_step& p, const job& j) {
    if (has_preempted_recently(p, j)) {
        return true;
    }
    const reclaim_choice choice = cheapest_cell(p, j);
    if (choice.cell == nullptr) {
        return false;
    }
    jobs_preempted r;
    r.for_job = j.id;
    r.cell = choice.cell->name;
    for (const auto& id : choice.borrowers) {
        const job& borrower = p.state.jobs.at(id);
        if (borrower.phase == job_phase::placed) {
            const bool checkpoint = class_of(p.state, borrower)->preempt == preemption::checkpoint;
            r.targets.push_back({id, borrower.attempt, checkpoint});
            p.stopped_jobs.insert(id);
        }
    }
    p.taken_cells.insert(choice.cell->name);
    p.planner.preempted_for_at[j.id] = p.now;
    p.records.push_back(std::move(r));
    return true;
}

bool preempt_for_urgent(planning_step& p, const job& j, const job_class& c) {
    if (j.request.tasks > 1 || has_preempted_recently(p, j) ||
        exceeds_urgent_share(p.state, j.request.client_account)) {
        return false;
    }
    if (p.now < j.submitted_at + c.deadline_ms / preemption_delay_divisor) {
        return false;
    }
    const time_ms time_left = j.submitted_at + c.deadline_ms - p.now;
    const victim_choice choice = cheapest_victim(p, j, time_left);
    if (choice.victim == nullptr) {
        return false;
    }
    const preemption_target target = {choice.victim->id, choice.victim->attempt,
                                      choice.checkpoint_first};
    p.stopped_jobs.insert(choice.victim->id);
    p.planner.preempted_for_at[j.id] = p.now;
    p.records.push_back(jobs_preempted{{target}, j.id, ""});
    return true;
}

} // namespace fulmarworks
