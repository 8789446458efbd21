#include "preemption.h"

#include "base/digest.h"
#include "job_order.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace fulmarworks {

namespace {

/** After this time without a placement, work is stopped for a job again. */
constexpr time_ms preemption_retry_ms = 10 * milliseconds_per_second;
constexpr std::size_t max_hosts_searched = 512;
/** Short urgent work ends all the time; only after this part of the deadline is other work stopped.
 */
constexpr time_ms deadline_part_to_wait = 8;

bool was_preempted_for(const planning& p, const job& j) {
    const auto found = p.memory.preempted_for.find(j.id);
    return found != p.memory.preempted_for.end() && p.now < found->second + preemption_retry_ms;
}

/** Returns the work that stopping a job now would lose, in accelerator milliseconds. */
std::int64_t lost_work(const planning& p, const job& j, const job_class& c, bool checkpoint) {
    const time_ms ran = checkpoint ? c.checkpoint_ms : std::max<time_ms>(p.now - j.placed_at, 0);
    return ran * std::max(total_accelerators(j.request), 1);
}

/** Returns the jobs of others that stand in a cell; nothing if one of them must stay. */
std::optional<std::set<std::string>> borrowers_of(const planning& p, const guarantee_cell& cell) {
    std::set<std::string> borrowers;
    for (const auto& b : cell.blocks) {
        for (const auto& id : p.state.jobs_by_host[b.host]) {
            const job& other = p.state.jobs.at(id);
            const bool inside =
                std::any_of(other.members.begin(), other.members.end(), [&](const auto& m) {
                    return m.where.host == b.host && (mask_of(m.where) & mask_of(b)) != 0;
                });
            if (!inside) {
                continue;
            }
            const job_class* c = class_of(p.state, other);
            const bool may_stop = c != nullptr && is_stoppable(*c) && other.cell != cell.name;
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

std::int64_t total_lost(const planning& p, const std::set<std::string>& borrowers) {
    std::int64_t total = 0;
    for (const auto& id : borrowers) {
        const job& other = p.state.jobs.at(id);
        const job_class* c = class_of(p.state, other);
        total += lost_work(p, other, *c, c->preempt == preemption::checkpoint);
    }
    return total;
}

reclaim_choice cheapest_cell(const planning& p, const job& j) {
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

bool frees_enough(const planning& p, const job& victim, const job& j) {
    const block& b = victim.members.front().where;
    const host& h = p.state.hosts.hosts()[b.host];
    const accelerator_mask kept = h.planned | h.claimed;
    const accelerator_mask all = mask_of(0, h.capacity.accelerators);
    const accelerator_mask freed = (all & ~h.used & ~kept) | (mask_of(b) & ~kept);
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

void consider_victim(const planning& p, const job& other, const job& j, time_ms time_left,
                     victim_choice& best) {
    const job_class* c = class_of(p.state, other);
    const bool may_stop = c != nullptr && is_stoppable(*c) && other.phase == job_phase::placed &&
                          other.members.size() == 1 && !p.stopped_jobs.contains(other.id);
    if (!may_stop || !frees_enough(p, other, j)) {
        return;
    }
    const bool checkpoint = c->preempt == preemption::checkpoint && c->checkpoint_ms < time_left;
    const std::int64_t lost = lost_work(p, other, *c, checkpoint);
    if (lost < best.lost) {
        best = {&other, checkpoint, lost};
    }
}

victim_choice cheapest_victim(const planning& p, const job& j, time_ms time_left) {
    victim_choice best;
    const std::size_t hosts = p.state.hosts.hosts().size();
    const std::size_t first = hosts == 0 ? 0 : hash64(j.id) % hosts;
    for (std::size_t i = 0; i < std::min(hosts, max_hosts_searched); ++i) {
        const auto h = static_cast<host_index>((first + i) % hosts);
        if (!p.state.hosts.is_schedulable(h)) {
            continue;
        }
        for (const auto& id : p.state.jobs_by_host[h]) {
            consider_victim(p, p.state.jobs.at(id), j, time_left, best);
        }
    }
    return best;
}

} // namespace

bool reclaim_cell(planning& p, const job& j) {
    if (was_preempted_for(p, j)) {
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
        const job& other = p.state.jobs.at(id);
        if (other.phase == job_phase::placed) {
            const bool checkpoint = class_of(p.state, other)->preempt == preemption::checkpoint;
            r.targets.push_back({id, other.attempt, checkpoint});
            p.stopped_jobs.insert(id);
        }
    }
    p.taken_cells.insert(choice.cell->name);
    p.memory.preempted_for[j.id] = p.now;
    p.records.push_back(std::move(r));
    return true;
}

bool preempt_for_urgent(planning& p, const job& j, const job_class& c) {
    if (j.request.tasks > 1 || was_preempted_for(p, j) ||
        is_over_share(p.state, j.request.client_account)) {
        return false;
    }
    if (p.now < j.submitted_at + c.deadline_ms / deadline_part_to_wait) {
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
    p.memory.preempted_for[j.id] = p.now;
    p.records.push_back(jobs_preempted{{target}, j.id, ""});
    return true;
}

} // namespace fulmarworks
