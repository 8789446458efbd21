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

/** Queued jobs of an account that are checked for their time limit in a step. */
constexpr int max_expiry_checks = 32;
/** Longest wait before a small job may break up a free guarantee, at full weight. */
constexpr time_ms max_borrowing_wait_ms = 60 * milliseconds_per_second;

struct chosen_place {
    std::vector<block> blocks;
    std::string cell;
    const char* why = "";
    bool pinned = true;
};

/** Occupies tentative placements and gives them back when the step ends. */
class tentative_placements {
public:
    explicit tentative_placements(ledger_state& s) : state_(s) {}
    tentative_placements(const tentative_placements&) = delete;
    tentative_placements& operator=(const tentative_placements&) = delete;

    ~tentative_placements() {
        for (const auto& taken : taken_) {
            for (const auto& b : taken.place.blocks) {
                state_.hosts.release(b, taken.owner->request.shape, taken.place.pinned);
            }
            state_.usage[taken.owner->request.client_account].accelerators -=
                total_accelerators(taken.owner->request);
        }
    }

    void take(const job& j, chosen_place place) {
        for (const auto& b : place.blocks) {
            state_.hosts.allocate(b, j.request.shape, place.pinned);
        }
        state_.usage[j.request.client_account].accelerators += total_accelerators(j.request);
        taken_.push_back({&j, std::move(place)});
    }

private:
    struct taken_place {
        const job* owner;
        chosen_place place;
    };

    ledger_state& state_;
    std::vector<taken_place> taken_;
};

std::optional<chosen_place> place_in_own_cell(const planning& p, const job& j,
                                              bool close_fit_only) {
    const int needed = total_accelerators(j.request);
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
            return chosen_place{std::move(*blocks), cell.name, "own guarantee", false};
        }
    }
    return std::nullopt;
}

failed_shape shape_key(const job& j, bool stoppable) {
    const task_shape& s = j.request.shape;
    return {s.accelerators, s.cores, s.memory_gb, j.request.tasks, stoppable};
}

/** Returns whether no work stands in a cell. */
bool is_untouched(const planning& p, const guarantee_cell& cell) {
    return std::all_of(cell.blocks.begin(), cell.blocks.end(), [&](const block& b) {
        return (p.state.hosts.hosts()[b.host].used & mask_of(b)) == 0;
    });
}

/** Where fragmentation weighs more, a small job waits before it breaks up a free guarantee. */
bool may_break_up(const planning& p, const job& j, const guarantee_cell& cell) {
    const int size = cell.hosts * cell.accelerators_per_host;
    const bool small = total_accelerators(j.request) * 2 <= size;
    const auto wait = static_cast<time_ms>(p.state.config.policy.fragmentation_weight *
                                           static_cast<double>(max_borrowing_wait_ms));
    return !p.options.protect_idle_guarantees || !weighs_fragmentation(p) || !small ||
           p.now >= j.submitted_at + wait || !is_untouched(p, cell);
}

/** Borrows from the guarantee whose break-up costs least: one in use, then the smallest. */
std::optional<chosen_place> borrow_from_cell(const planning& p, const job& j) {
    std::optional<chosen_place> best;
    int best_cost = std::numeric_limits<int>::max();
    for (const auto& cell : p.state.cells) {
        const int size = cell.hosts * cell.accelerators_per_host;
        const int cost = is_untouched(p, cell) ? size : 0;
        if (cell.blocks.empty() || !cell.claimed_by.empty() || p.taken_cells.contains(cell.name) ||
            cost >= best_cost || size < total_accelerators(j.request) ||
            !may_break_up(p, j, cell)) {
            continue;
        }
        auto blocks =
            find_placement_in_cell(p.state.hosts, cell.blocks, j.request.shape, j.request.tasks);
        if (blocks) {
            best = chosen_place{std::move(*blocks), "", "borrowed from a guarantee", false};
            best_cost = cost;
        }
    }
    return best;
}

/** Adds the hosts of cells that this step has claimed to those to avoid. */
std::vector<host_index> without_taken_cells(const planning& p, std::span<const host_index> avoid) {
    std::vector<host_index> hosts(avoid.begin(), avoid.end());
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

std::optional<chosen_place> place_avoiding(const planning& p, const job& j, bool stoppable,
                                           std::span<const host_index> avoid) {
    const bool consolidate = p.options.consolidate && weighs_fragmentation(p);
    placement_request request = {
        j.request.shape, j.request.tasks,     !stoppable, accelerator_scope::unplanned,
        avoid,           p.options.first_fit, consolidate};
    if (leaves_headroom(p, j)) {
        if (auto blocks = find_placement(p.state.hosts, request)) {
            return chosen_place{std::move(*blocks), "", "best fit", !stoppable};
        }
    }
    if (!stoppable) {
        return std::nullopt;
    }
    if (auto place = borrow_from_cell(p, j)) {
        return place;
    }
    const auto untaken = without_taken_cells(p, avoid);
    request.scope = accelerator_scope::unclaimed;
    request.excluded_hosts = untaken;
    if (j.request.tasks == 1 || !leaves_headroom(p, j)) {
        return std::nullopt;
    }
    if (auto blocks = find_placement(p.state.hosts, request)) {
        return chosen_place{std::move(*blocks), "", "partly borrowed from a guarantee", false};
    }
    return std::nullopt;
}

/** Prefers hosts on which it has not failed and which stay in use, but does not wait for them. */
std::optional<chosen_place> place_in_shared_space(const planning& p, const job& j, bool stoppable) {
    const auto reserved = reserved_hosts(p, j);
    const bool leaves_draining = avoids_draining(p, j);
    if (j.failed_hosts.empty() && !leaves_draining) {
        return place_avoiding(p, j, stoppable, reserved);
    }
    auto avoid = reserved;
    avoid.insert(avoid.end(), j.failed_hosts.begin(), j.failed_hosts.end());
    if (leaves_draining) {
        avoid.insert(avoid.end(), p.memory.draining.begin(), p.memory.draining.end());
    }
    std::sort(avoid.begin(), avoid.end());
    if (auto place = place_avoiding(p, j, stoppable, avoid)) {
        return place;
    }
    return place_avoiding(p, j, stoppable, reserved);
}

std::optional<chosen_place> choose_place(planning& p, const job& j, bool stoppable) {
    if (auto place = place_in_own_cell(p, j, true)) {
        return place;
    }
    const auto key = shape_key(j, stoppable);
    if (!p.failed.contains(key)) {
        if (auto place = place_in_shared_space(p, j, stoppable)) {
            return place;
        }
        if (j.failed_hosts.empty() && p.memory.reservations.empty()) {
            p.failed.insert(key);
        }
    }
    return place_in_own_cell(p, j, false);
}

/** Places the job or makes room for it; returns whether it is placed. */
bool plan_job(planning& p, tentative_placements& tentative, const job& j) {
    const job_class* c = class_of(p.state, j);
    const bool stoppable = c != nullptr && is_stoppable(*c);
    if (auto place = choose_place(p, j, stoppable)) {
        p.records.push_back(
            job_placed{j.id, j.attempt + 1, place->blocks, place->cell, place->why});
        if (!place->cell.empty()) {
            p.taken_cells.insert(place->cell);
        }
        tentative.take(j, std::move(*place));
        ++p.placements;
        return true;
    }
    const bool makes_room = (p.options.reclaim && reclaim_cell(p, j)) ||
                            (p.options.preempt_for_urgent && c != nullptr &&
                             c->priority == urgency::urgent && preempt_for_urgent(p, j, *c));
    if (!makes_room) {
        p.waiting_accelerators += total_accelerators(j.request);
    }
    return false;
}

bool is_large(const planning& p, const job& j) {
    const auto& hosts = p.state.hosts.hosts();
    const int width = hosts.empty() ? 1 : std::max(hosts.front().capacity.accelerators, 1);
    return j.request.tasks > 1 || j.request.shape.accelerators * 2 > width;
}

visit plan_visited(planning& p, tentative_placements& tentative, job& j) {
    if (p.placements >= max_placements_per_step) {
        return visit::stop;
    }
    const bool placed = plan_job(p, tentative, j);
    if (placed) {
        return visit::next;
    }
    if (p.options.reservations && is_large(p, j)) {
        reserve_for(p, j);
    }
    return p.options.backfill ? visit::next : visit::stop;
}

void expire_waiting(planning& p) {
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

void forget_placed(planning& p) {
    std::erase_if(p.memory.preempted_for, [&](const auto& entry) {
        const job* j = find_job(p.state, entry.first);
        return j == nullptr || j->phase != job_phase::queued;
    });
}

/** Quarantines end by the time of the log, which stands still while nothing is written. */
void note_time(planning& p) {
    const auto& waiting = p.state.quarantined;
    if (!waiting.empty() && waiting.begin()->first <= p.now && p.records.empty()) {
        p.records.push_back(time_noted{});
    }
}

} // namespace

std::vector<record_body> plan_step(ledger_state& s, planner_state& memory, time_ms now,
                                   const planner_options& options) {
    planning p = {s, memory, now, options, {}, {}, {}, {}, 0, 0, 0};
    expire_waiting(p);
    expire_reservations(p);
    forget_placed(p);
    update_headroom(p);
    {
        tentative_placements tentative(s);
        const auto visitor = [&](job& j) { return plan_visited(p, tentative, j); };
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
    note_time(p);
    return std::move(p.records);
}

} // namespace fulmarworks
