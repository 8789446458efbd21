#include "start_planner.h"

#include "capacity.h"
#include "lookup.h"
#include "task_groups.h"
#include "victim_selection.h"

#include <algorithm>
#include <optional>

namespace fulmarworks::scheduler {

namespace {

/** An urgent unit gives up its preferred rack after this share of the reclaim bound. */
constexpr double urgent_rack_patience = 0.4;
/** Other units wait for this part of the time that they would lose by running away from it. */
constexpr double rack_patience = 0.75;
/** With this share of the accelerators free nothing waits long, as the rack's load is no reason. */
constexpr double idle_share = 0.4;
constexpr time_ms idle_rack_patience_ms = 1500;
/** Room that was made for a unit is kept for the time of a stop and this: the way of the order, a
 * poll, and the batch that stores the end. */
constexpr time_ms reservation_margin_ms = 1100;
/** Racks that are compared for one gang: more than today's deployments have, and few enough for a
 * decision within a millisecond at the target size. */
constexpr std::size_t max_racks_compared = 50;

struct planning {
    coordinator_state& state;
    time_ms now_ms = 0;
    /** What may be stopped for urgent units. */
    victim_table victims;
    bool mostly_idle = false;
    /** Shapes that no room of their pool has space for; rooms only fill up during a plan. */
    std::vector<std::pair<std::string, resources>> hopeless;
    plan result;

    [[nodiscard]] capacity_index& capacities() const { return state.capacities; }
};

bool is_mostly_idle(const capacity_index& capacities) {
    return static_cast<double>(capacities.free_accelerators()) >=
           idle_share * static_cast<double>(capacities.all_accelerators());
}

task_group_request make_request(const task_group& unit) {
    task_group_request request{unit.owner, &unit.spec(), {}, {}};
    for (const auto& t : unit.in->steps[unit.step].tasks) {
        if (limits_tasks_per_worker(request) && is_assigned(t.phase)) {
            ++request.already_there[t.where.id];
        }
        if (!t.failed_on.empty()) {
            request.avoid.insert(t.failed_on);
        }
    }
    return request;
}

/** Returns whether the unit should still wait for the rack where it runs fastest. */
bool insists_on_rack(const planning& p, const task_group& unit) {
    const time_ms waited = p.now_ms - unit.ready_at_ms;
    if (p.mostly_idle && waited >= idle_rack_patience_ms) {
        return false;
    }
    const settings& limits = p.state.limits;
    const auto patience = unit.owner->spec.policy.priority == 0
                              ? urgent_rack_patience * static_cast<double>(limits.reclaim_ms)
                              : rack_patience * (limits.remote_factor - 1) *
                                    static_cast<double>(unit.spec().estimate_ms);
    return static_cast<double>(waited) < patience;
}

void accept(planning& p, const task_group& unit, std::span<const worker_index> chosen) {
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        p.result.placements.push_back(
            {{unit.owner->spec.id, unit.in->number, unit.step, unit.tasks[i]},
             p.capacities().at(chosen[i]).host->report.incarnation});
    }
}

bool wants_one_rack(const step_spec& spec) {
    return spec.gang && spec.same_rack && spec.task_count > 1;
}

/** Returns the racks that suit the unit best, those with the least room first. */
std::vector<search_scope> preferred_racks(const planning& p, const task_group& unit) {
    std::vector<search_scope> racks;
    const std::string& data_rack = unit.spec().data_rack;
    if (!data_rack.empty()) {
        if (const rack_capacity* rack = p.capacities().rack(data_rack)) {
            racks.push_back(rack);
        }
    } else if (wants_one_rack(unit.spec())) {
        for (const auto& [key, rack] : p.capacities().racks()) {
            racks.push_back(rack);
        }
    }
    return racks;
}

/** Returns whether the unit may run anywhere, after the racks that suit it best. */
bool may_run_anywhere(const planning& p, const task_group& unit, bool has_preferred_rack) {
    return !has_preferred_rack || !insists_on_rack(p, unit);
}

/** Accelerators that stay free on the used workers; less is better. */
std::int64_t leftover(const planning& p, std::span<const worker_index> chosen) {
    std::int64_t total = 0;
    for (const worker_index room : chosen) {
        total += p.capacities().at(room).free.accelerators;
    }
    return total;
}

std::optional<std::vector<worker_index>> place_whole(planning& p, const task_group& unit,
                                                     search_scope among,
                                                     task_group_request& request,
                                                     capacity_kind kind) {
    const std::size_t count = unit.tasks.size();
    if (!may_fit(p.capacities(), among, booked_resources(unit.spec()), count, kind)) {
        return std::nullopt;
    }
    auto chosen = book_best_fit(p.capacities(), among, request, count, kind);
    if (chosen.size() < count) {
        unbook(p.capacities(), request, chosen);
        return std::nullopt;
    }
    return chosen;
}

/** Places a whole gang into the rack that it fills best. */
std::optional<std::vector<worker_index>>
place_gang(planning& p, const task_group& unit, task_group_request& request, capacity_kind kind) {
    search_scope best_rack = all_racks;
    std::int64_t best_left = 0;
    std::size_t tried = 0;
    const auto racks = preferred_racks(p, unit);
    for (const search_scope rack : racks) {
        const auto chosen = place_whole(p, unit, rack, request, kind);
        if (!chosen) {
            continue;
        }
        const std::int64_t left = leftover(p, *chosen);
        unbook(p.capacities(), request, *chosen);
        if (best_rack == all_racks || left < best_left) {
            best_rack = rack;
            best_left = left;
        }
        if (++tried == max_racks_compared) {
            break;
        }
    }
    if (best_rack == all_racks && !may_run_anywhere(p, unit, !racks.empty())) {
        return std::nullopt;
    }
    return place_whole(p, unit, best_rack, request, kind);
}

/** Keeps room for the unit until what occupies it has stopped. */
void reserve(const planning& p, const task_group& unit, std::span<const worker_index> chosen) {
    step_progress& progress = unit.in->steps[unit.step];
    progress.reserved_on.clear();
    for (const worker_index room : chosen) {
        progress.reserved_on.push_back(p.capacities().at(room).id);
    }
    progress.reserved_until_ms = p.now_ms + p.state.limits.stop_timeout_ms + reservation_margin_ms;
}

/** Returns the cheapest way to make room in one of the racks that suit the unit best. */
std::optional<victim_selection> cheapest_rack(planning& p, const task_group& unit,
                                              std::span<const search_scope> racks,
                                              const task_group_request& request) {
    std::optional<victim_selection> best;
    std::size_t tried = 0;
    const auto needed = booked_resources(unit.spec()).accelerators *
                        static_cast<std::int64_t>(unit.spec().gang ? unit.tasks.size() : 1);
    // Racks with more room first: the fewer runs need to stop there.
    for (auto rack = racks.rbegin(); rack != racks.rend() && tried < max_racks_compared; ++rack) {
        if ((*rack)->all_accelerators < needed) {
            continue;
        }
        ++tried;
        auto choice = choose_victims(p.state, *rack, p.victims, unit, request);
        if (choice && (!best || choice->cost < best->cost)) {
            best = std::move(choice);
        }
    }
    return best;
}

/** Makes room for an urgent unit, in the rack where that is possible at the least cost. */
void preempt(planning& p, const task_group& unit, const task_group_request& request) {
    const auto racks = preferred_racks(p, unit);
    auto choice = cheapest_rack(p, unit, racks, request);
    if (!choice && may_run_anywhere(p, unit, !racks.empty())) {
        choice = choose_victims(p.state, all_racks, p.victims, unit, request);
    }
    if (!choice) {
        return;
    }
    accept_choice(p.capacities(), p.victims, *choice);
    if (unit.spec().gang) {
        reserve(p, unit, choice->chosen);
    }
    for (const auto& id : choice->victims) {
        p.result.preemptions.push_back({id, unit.owner->spec.id});
    }
}

/**
 * Books the room that was reserved for a unit earlier. Returns it if all of it is free now; a
 * reservation that can't be kept any more is dropped.
 */
std::optional<std::vector<worker_index>>
claim_reservation(planning& p, const task_group& unit, task_group_request& request, bool& waiting) {
    step_progress& progress = unit.in->steps[unit.step];
    waiting = false;
    const resources need = booked_resources(unit.spec());
    std::vector<worker_index> chosen;
    bool free = true;
    for (const auto& id : progress.reserved_on) {
        const worker_index* found = p.capacities().find(id);
        if (found == nullptr || !eligible(p.capacities().at(*found), request) ||
            !fits(need, p.capacities().at(*found).free_after_stops)) {
            break;
        }
        free = free && fits(need, p.capacities().at(*found).free);
        book(p.capacities(), request, *found);
        chosen.push_back(*found);
    }
    if (chosen.size() != unit.tasks.size() || p.now_ms > progress.reserved_until_ms) {
        unbook(p.capacities(), request, chosen);
        progress.reserved_on.clear();
        return std::nullopt;
    }
    waiting = !free;
    if (waiting) {
        return std::nullopt;
    }
    progress.reserved_on.clear();
    return chosen;
}

void plan_gang(planning& p, const task_group& unit) {
    task_group_request request = make_request(unit);
    bool waiting = false;
    if (!unit.in->steps[unit.step].reserved_on.empty()) {
        if (const auto chosen = claim_reservation(p, unit, request, waiting)) {
            accept(p, unit, *chosen);
            return;
        }
    }
    if (waiting) {
        return;
    }
    if (const auto chosen = place_gang(p, unit, request, capacity_kind::free)) {
        accept(p, unit, *chosen);
        return;
    }
    if (unit.owner->spec.policy.priority != 0) {
        return;
    }
    // Room that is about to become free is kept for the unit by booking it here.
    if (!place_gang(p, unit, request, capacity_kind::free_after_stops)) {
        preempt(p, unit, request);
    }
}

/** Returns whether the unit's shape is known not to fit into any room now. */
bool is_hopeless(const planning& p, const task_group& unit) {
    const resources need = booked_resources(unit.spec());
    return std::any_of(p.hopeless.begin(), p.hopeless.end(), [&](const auto& known) {
        return known.first == unit.owner->spec.policy.pool && fits(known.second, need);
    });
}

void note_if_hopeless(planning& p, const task_group& unit, const task_group_request& request) {
    const bool restricted = !request.spec->required_label.empty() || !request.avoid.empty() ||
                            limits_tasks_per_worker(request);
    if (!restricted) {
        p.hopeless.emplace_back(unit.owner->spec.policy.pool, booked_resources(unit.spec()));
    }
}

/** Places what fits now, and takes it out of the unit. */
void place_tasks(planning& p, task_group& unit, task_group_request& request) {
    const auto place_among = [&](search_scope among) {
        const auto chosen =
            book_best_fit(p.capacities(), among, request, unit.tasks.size(), capacity_kind::free);
        accept(p, unit, chosen);
        unit.tasks.erase(unit.tasks.begin(),
                         unit.tasks.begin() + static_cast<std::ptrdiff_t>(chosen.size()));
    };
    const auto racks = preferred_racks(p, unit);
    for (const search_scope rack : racks) {
        place_among(rack);
    }
    if (!unit.tasks.empty() && may_run_anywhere(p, unit, !racks.empty())) {
        place_among(all_racks);
        if (!unit.tasks.empty()) {
            note_if_hopeless(p, unit, request);
        }
    }
}

void plan_tasks(planning& p, task_group unit) {
    const bool urgent = unit.owner->spec.policy.priority == 0;
    const bool hopeless = is_hopeless(p, unit);
    if (hopeless && !urgent) {
        return;
    }
    task_group_request request = make_request(unit);
    if (!hopeless) {
        place_tasks(p, unit, request);
    }
    if (!urgent || unit.tasks.empty()) {
        return;
    }
    const auto free_after_stops = book_best_fit(p.capacities(), all_racks, request,
                                                unit.tasks.size(), capacity_kind::free_after_stops);
    if (free_after_stops.size() < unit.tasks.size()) {
        unit.tasks.erase(unit.tasks.begin(),
                         unit.tasks.begin() + static_cast<std::ptrdiff_t>(free_after_stops.size()));
        preempt(p, unit, request);
    }
}

} // namespace

plan make_plan(coordinator_state& state, time_ms now_ms) {
    constexpr int urgent_priority = 0;
    planning p{state, now_ms, {urgent_priority, now_ms, {}, {}}, is_mostly_idle(state.capacities),
               {},    {}};
    auto units = collect_task_groups(state, now_ms);
    // Room that was made for a unit is booked before anything else can take it.
    std::stable_partition(units.begin(), units.end(), [](const task_group& u) {
        return !u.in->steps[u.step].reserved_on.empty();
    });
    for (const auto& unit : units) {
        if (unit.spec().gang) {
            plan_gang(p, unit);
        } else {
            plan_tasks(p, unit);
        }
    }
    return std::move(p.result);
}

} // namespace fulmarworks::scheduler
