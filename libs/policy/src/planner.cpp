#include "policy/planner.h"

#include "defragment.h"
#include "headroom.h"
#include "job_order.h"
#include "placement/find_placement.h"
#include "power.h"
#include "preemption.h"
#include "reservation.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace fulmarworks {

namespace {

/** Queued jobs per account that one step checks for their queue timeout. */
constexpr int max_expiry_checks = 32;
/** Delay at fragmentation weight 1 before a small job may borrow from a guarantee that is free. */
constexpr time_ms max_borrowing_delay_ms = 60 * milliseconds_per_second;

struct placement_choice {
    std::vector<block> blocks;
    std::string cell;
    const char* why = "";
    bool pinned = true;
};

/** Allocates placements tentatively and releases them on destruction. */
class tentative_placements {
public:
    explicit tentative_placements(ledger_state& s) : state_(s) {}
    tentative_placements(const tentative_placements&) = delete;
    tentative_placements& operator=(const tentative_placements&) = delete;

    ~tentative_placements() {
        for (const auto& allocated : allocated_) {
            for (const auto& b : allocated.place.blocks) {
                state_.hosts.release(b, allocated.owner->request.shape, allocated.place.pinned);
            }
            state_.usage[allocated.owner->request.client_account].accelerators -=
                requested_accelerators(allocated.owner->request);
        }
    }

    void add(const job& j, placement_choice place) {
        for (const auto& b : place.blocks) {
            state_.hosts.allocate(b, j.request.shape, place.pinned);
        }
        state_.usage[j.request.client_account].accelerators += requested_accelerators(j.request);
        allocated_.push_back({&j, std::move(place)});
    }

private:
    struct allocated_placement {
        const job* owner;
        placement_choice place;
    };

    ledger_state& state_;
    std::vector<allocated_placement> allocated_;
};

std::optional<placement_choice> place_in_own_cell(const planning_step& p, const job& j,
                                                  bool close_fit_only) {
    const int needed = requested_accelerators(j.request);
    for (const auto& cell : p.state.cells) {
        const bool usable = cell.client_account == j.request.client_account &&
                            !cell.blocks.empty() && !p.taken_cells.contains(cell.name) &&
                            (cell.claimed_by.empty() || cell.claimed_by == j.id);
        const int size = cell.hosts * cell.accelerators_per_host;
        const bool claimed = cell.claimed_by == j.id;
        if (!usable || needed == 0 || (close_fit_only && !claimed && needed * 2 <= size)) {
            continue;
        }
        auto blocks =
            find_placement_in_cell(p.state.hosts, cell.blocks, j.request.shape, j.request.tasks);
        if (blocks) {
            return placement_choice{std::move(*blocks), cell.name, "own guarantee", false};
        }
    }
    return std::nullopt;
}

failed_shape shape_key(const job& j, bool stoppable) {
    const task_shape& s = j.request.shape;
    return {s.accelerators, s.cores, s.memory_gb, j.request.tasks, stoppable};
}

/** Returns whether no task runs on the accelerators of a cell. */
bool is_cell_free(const planning_step& p, const guarantee_cell& cell) {
    return std::all_of(cell.blocks.begin(), cell.blocks.end(), [&](const block& b) {
        return (p.state.hosts.hosts()[b.host].used & mask_of(b)) == 0;
    });
}

/**
 * Returns whether a job may borrow from a cell now. If fragmentation weighs more than completion
 * time, a small job first waits before it splits a free cell.
 */
bool may_borrow(const planning_step& p, const job& j, const guarantee_cell& cell) {
    const int size = cell.hosts * cell.accelerators_per_host;
    const bool small = requested_accelerators(j.request) * 2 <= size;
    const auto delay = static_cast<time_ms>(p.state.config.policy.fragmentation_weight *
                                            static_cast<double>(max_borrowing_delay_ms));
    return !p.options.protect_idle_guarantees || !prioritizes_low_fragmentation(p) || !small ||
           p.now >= j.submitted_at + delay || !is_cell_free(p, cell);
}

/** Places the job in the cell that costs least to split: one already in use, else the smallest. */
std::optional<placement_choice> borrow_from_cell(const planning_step& p, const job& j) {
    std::optional<placement_choice> best;
    int best_cost = std::numeric_limits<int>::max();
    for (const auto& cell : p.state.cells) {
        const int size = cell.hosts * cell.accelerators_per_host;
        const int cost = is_cell_free(p, cell) ? size : 0;
        if (cell.blocks.empty() || !cell.claimed_by.empty() || p.taken_cells.contains(cell.name) ||
            cost >= best_cost || size < requested_accelerators(j.request) ||
            !may_borrow(p, j, cell)) {
            continue;
        }
        auto blocks =
            find_placement_in_cell(p.state.hosts, cell.blocks, j.request.shape, j.request.tasks);
        if (blocks) {
            best = placement_choice{std::move(*blocks), "", "borrowed from a guarantee", false};
            best_cost = cost;
        }
    }
    return best;
}

/** Adds the hosts of cells that this step uses or reclaims to `excluded`. */
std::vector<host_index> exclude_taken_cells(const planning_step& p,
                                            std::span<const host_index> excluded) {
    std::vector<host_index> hosts(excluded.begin(), excluded.end());
    for (const auto& cell : p.state.cells) {
        if (!p.taken_cells.contains(cell.name)) {
            continue;
        }
        for (const auto& b : cell.blocks) {
            hosts.push_back(b.host);
        }
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

std::optional<placement_choice> place_excluding(const planning_step& p, const job& j,
                                                bool stoppable,
                                                std::span<const host_index> excluded) {
    const bool consolidate = p.options.consolidate && prioritizes_low_fragmentation(p);
    placement_request request = {
        j.request.shape, j.request.tasks,     !stoppable, accelerator_scope::unplanned,
        excluded,        p.options.first_fit, consolidate};
    if (leaves_headroom(p, j)) {
        if (auto blocks = find_placement(p.state.hosts, request)) {
            return placement_choice{std::move(*blocks), "", "best fit", !stoppable};
        }
    }
    if (!stoppable) {
        return std::nullopt;
    }
    if (auto place = borrow_from_cell(p, j)) {
        return place;
    }
    const auto without_taken_cells = exclude_taken_cells(p, excluded);
    request.scope = accelerator_scope::unclaimed;
    request.excluded_hosts = without_taken_cells;
    if (j.request.tasks == 1 || !leaves_headroom(p, j)) {
        return std::nullopt;
    }
    if (auto blocks = find_placement(p.state.hosts, request)) {
        return placement_choice{std::move(*blocks), "", "partly borrowed from a guarantee", false};
    }
    return std::nullopt;
}

/** Avoids hosts on which the job has failed and hosts being drained unless it fits nowhere else. */
std::optional<placement_choice> place_outside_own_cells(const planning_step& p, const job& j,
                                                        bool stoppable) {
    const auto reserved = reserved_hosts(p, j);
    const bool avoids_draining = avoids_draining_hosts(p, j);
    if (j.failed_hosts.empty() && !avoids_draining) {
        return place_excluding(p, j, stoppable, reserved);
    }
    auto excluded = reserved;
    excluded.insert(excluded.end(), j.failed_hosts.begin(), j.failed_hosts.end());
    if (avoids_draining) {
        excluded.insert(excluded.end(), p.planner.draining_hosts.begin(),
                        p.planner.draining_hosts.end());
    }
    std::sort(excluded.begin(), excluded.end());
    if (auto place = place_excluding(p, j, stoppable, excluded)) {
        return place;
    }
    return place_excluding(p, j, stoppable, reserved);
}

std::optional<placement_choice> choose_place(planning_step& p, const job& j, bool stoppable) {
    if (auto place = place_in_own_cell(p, j, true)) {
        return place;
    }
    const auto key = shape_key(j, stoppable);
    if (!p.failed_shapes.contains(key)) {
        if (auto place = place_outside_own_cells(p, j, stoppable)) {
            return place;
        }
        if (j.failed_hosts.empty() && p.planner.reservations.empty()) {
            p.failed_shapes.insert(key);
        }
    }
    return place_in_own_cell(p, j, false);
}

/** Places the job or stops others for it; returns whether it is placed. */
bool plan_job(planning_step& p, tentative_placements& tentative, const job& j) {
    const job_class* c = class_of(p.state, j);
    const bool stoppable = c != nullptr && is_stoppable(*c);
    if (auto place = choose_place(p, j, stoppable)) {
        p.records.push_back(
            job_placed{j.id, j.attempt + 1, place->blocks, place->cell, place->why});
        if (!place->cell.empty()) {
            p.taken_cells.insert(place->cell);
        }
        tentative.add(j, std::move(*place));
        ++p.placements;
        return true;
    }
    const bool preempts = (p.options.reclaim && reclaim_cell(p, j)) ||
                          (p.options.preempt_for_urgent && c != nullptr &&
                           c->priority == urgency::urgent && preempt_for_urgent(p, j, *c));
    if (!preempts) {
        p.unplaced_accelerators += requested_accelerators(j.request);
    }
    return false;
}

bool is_large(const planning_step& p, const job& j) {
    const auto& hosts = p.state.hosts.hosts();
    const int width = hosts.empty() ? 1 : std::max(hosts.front().capacity.accelerators, 1);
    return j.request.tasks > 1 || j.request.shape.accelerators * 2 > width;
}

visit_result visit_job(planning_step& p, tentative_placements& tentative, job& j) {
    if (p.placements >= max_placements_per_step) {
        return visit_result::stop;
    }
    const bool placed = plan_job(p, tentative, j);
    if (placed) {
        return visit_result::next;
    }
    if (p.options.reservations && is_large(p, j)) {
        reserve_for(p, j);
    }
    return p.options.backfill ? visit_result::next : visit_result::stop;
}

void expire_queued_jobs(planning_step& p) {
    for (const auto& [account, queue] : p.state.queues) {
        int checked = 0;
        for (const auto& entry : queue) {
            if (++checked > max_expiry_checks) {
                break;
            }
            const job& j = p.state.jobs.at(entry.job);
            const job_class* c = class_of(p.state, j);
            if (c != nullptr && c->queue_timeout_ms > 0 &&
                p.now > j.submitted_at + c->queue_timeout_ms) {
                p.records.push_back(job_expired{j.id, j.attempt});
            }
        }
    }
}

void forget_preemptions_for_started_jobs(planning_step& p) {
    std::erase_if(p.planner.preempted_for_at, [&](const auto& entry) {
        const job* j = find_job(p.state, entry.first);
        return j == nullptr || j->phase != job_phase::queued;
    });
}

/**
 * Appends a record when a quarantine is due to end. Quarantines end by the time of the log, which
 * advances only with new records.
 */
void advance_log_time(planning_step& p) {
    const auto& quarantines = p.state.quarantined;
    if (!quarantines.empty() && quarantines.begin()->first <= p.now && p.records.empty()) {
        p.records.push_back(time_noted{});
    }
}

} // namespace

std::vector<record_body> plan_step(ledger_state& s, planner_state& planner, time_ms now,
                                   const planner_options& options) {
    planning_step p = {s, planner, now, options, {}, {}, {}, {}, 0, 0, 0};
    expire_queued_jobs(p);
    expire_reservations(p);
    forget_preemptions_for_started_jobs(p);
    update_headroom(p);
    {
        tentative_placements tentative(s);
        const auto visitor = [&](job& j) { return visit_job(p, tentative, j); };
        if (options.urgent_first) {
            for_each_urgent(p, visitor);
            for_each_by_share(p, visitor);
        } else {
            for_each_by_arrival(p, visitor);
        }
    }
    defragment(p);
    if (options.power_management) {
        plan_power(p);
    }
    advance_log_time(p);
    return std::move(p.records);
}

} // namespace fulmarworks
