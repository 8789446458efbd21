#include "start_planner.h"

#include "capacity.h"
#include "expected_ends.h"
#include "gang_reservation.h"
#include "lookup.h"
#include "suspect_isolation.h"
#include "task_groups.h"
#include "urgent_headroom.h"
#include "victim_selection.h"

#include <algorithm>
#include <optional>

namespace fulmarworks::scheduler {

namespace {

/** An urgent group stops waiting for its preferred rack after this share of the reclaim time. */
constexpr double urgent_rack_wait_share = 0.4;
/**
 * Other groups wait for this share of the extra run time that a placement outside the preferred
 * rack would cost.
 */
constexpr double rack_wait_share = 0.75;
/**
 * If at least this share of all accelerators is free, no group waits longer than
 * `mostly_idle_rack_wait_ms`, because load does not explain why the rack is unavailable.
 */
constexpr double mostly_idle_share = 0.4;
constexpr time_ms mostly_idle_rack_wait_ms = 1500;

struct planning_context {
    coordinator_state& state;
    time_ms now_ms = 0;
    /** Runs that may be stopped for urgent groups. */
    victim_table victims;
    bool mostly_idle = false;
    /** Racks in which only urgent tasks are placed. */
    std::set<std::string_view> headroom_racks;
    /**
     * Pool and resources of tasks that fit on no worker; free capacity only shrinks during a
     * plan.
     */
    std::vector<std::pair<std::string, resources>> infeasible_shapes;
    plan result;

    [[nodiscard]] capacity_index& capacities() const { return state.capacities; }
};

bool is_mostly_idle(const capacity_index& capacities) {
    return static_cast<double>(capacities.free_accelerators()) >=
           mostly_idle_share * static_cast<double>(capacities.all_accelerators());
}

task_group_request make_request(const planning_context& p, const task_group& group) {
    const bool urgent = group.owner->spec.policy.priority == 0;
    task_group_request request;
    request.owner = group.owner;
    request.spec = &group.spec();
    request.avoided_racks = urgent ? nullptr : &p.headroom_racks;
    for (const auto& t : group.parent->steps[group.step].tasks) {
        if (limits_tasks_per_worker(request) && is_assigned(t.phase)) {
            ++request.tasks_by_worker[t.where.id];
        }
        if (!t.failed_on.empty()) {
            request.excluded_workers.insert(t.failed_on);
        }
    }
    if (limits_tasks_per_worker(request)) {
        for (const auto& planned : p.result.placements) {
            if (planned.task.job == group.owner->spec.id &&
                planned.task.occurrence == group.parent->number &&
                planned.task.step == group.step) {
                ++request.tasks_by_worker[planned.where.id];
            }
        }
    }
    for (const std::uint32_t index : group.tasks) {
        const task& t = group.parent->steps[group.step].tasks[index];
        request.required_isolation =
            std::max(request.required_isolation, required_isolation(t, p.now_ms));
    }
    return request;
}

/** Returns whether the group should still wait for its preferred rack. */
bool waits_for_rack(const planning_context& p, const task_group& group) {
    const time_ms waited = p.now_ms - group.ready_at_ms;
    if (p.mostly_idle && waited >= mostly_idle_rack_wait_ms) {
        return false;
    }
    const settings& limits = p.state.limits;
    const auto wait_limit = group.owner->spec.policy.priority == 0
                                ? urgent_rack_wait_share * static_cast<double>(limits.reclaim_ms)
                                : rack_wait_share * (limits.remote_factor - 1) *
                                      static_cast<double>(group.spec().estimate_ms);
    return static_cast<double>(waited) < wait_limit;
}

void add_placements(planning_context& p, const task_group& group,
                    std::span<const worker_index> chosen) {
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        const task& t = group.parent->steps[group.step].tasks[group.tasks[i]];
        p.capacities().note_start(chosen[i], is_suspect(t.losses) ? group.owner : nullptr);
        p.result.placements.push_back(
            {{group.owner->spec.id, group.parent->number, group.step, group.tasks[i]},
             p.capacities().at(chosen[i]).host->report.incarnation});
    }
}

bool prefers_single_rack(const step_spec& spec) {
    return spec.gang && spec.same_rack && spec.task_count > 1;
}

/** Returns the preferred racks of the group, those with the fewest free accelerators first. */
std::vector<search_scope> preferred_racks(const planning_context& p, const task_group& group) {
    std::vector<search_scope> racks;
    const std::string& data_rack = group.spec().data_rack;
    if (!data_rack.empty()) {
        if (const rack_capacity* rack = p.capacities().rack(data_rack)) {
            racks.push_back(rack);
        }
    } else if (prefers_single_rack(group.spec())) {
        for (const auto& [key, rack] : p.capacities().racks()) {
            racks.push_back(rack);
        }
    }
    return racks;
}

/** Returns whether the group may run on any rack if its preferred racks lack free capacity. */
bool may_run_anywhere(const planning_context& p, const task_group& group, bool has_preferred_rack) {
    return !has_preferred_rack || !waits_for_rack(p, group);
}

/** Returns the accelerators that stay free on the chosen workers; lower is better. */
std::int64_t remaining_free_accelerators(const planning_context& p,
                                         std::span<const worker_index> chosen) {
    std::int64_t total = 0;
    for (const worker_index index : chosen) {
        total += p.capacities().at(index).free.accelerators;
    }
    return total;
}

std::optional<std::vector<worker_index>>
place_all_tasks(planning_context& p, const task_group& group, search_scope scope,
                task_group_request& request, capacity_kind kind) {
    const std::size_t count = group.tasks.size();
    if (!may_fit(p.capacities(), scope, booked_resources(group.spec()), count, kind)) {
        return std::nullopt;
    }
    auto chosen = book_best_fit(p.capacities(), scope, request, count, kind);
    if (chosen.size() < count) {
        unbook(p.capacities(), request, chosen);
        return std::nullopt;
    }
    return chosen;
}

/**
 * Places a whole gang in the rack that leaves the fewest accelerators free on the chosen workers.
 */
std::optional<std::vector<worker_index>> place_gang(planning_context& p, const task_group& group,
                                                    task_group_request& request,
                                                    capacity_kind kind) {
    search_scope best_rack = all_racks;
    std::int64_t best_left = 0;
    std::size_t tried = 0;
    const auto racks = preferred_racks(p, group);
    for (const search_scope rack : racks) {
        const auto chosen = place_all_tasks(p, group, rack, request, kind);
        if (!chosen) {
            continue;
        }
        const std::int64_t left = remaining_free_accelerators(p, *chosen);
        unbook(p.capacities(), request, *chosen);
        if (best_rack == all_racks || left < best_left) {
            best_rack = rack;
            best_left = left;
        }
        if (++tried == max_racks_compared) {
            break;
        }
    }
    if (best_rack == all_racks && !may_run_anywhere(p, group, !racks.empty())) {
        return std::nullopt;
    }
    return place_all_tasks(p, group, best_rack, request, kind);
}

/** Returns the cheapest set of runs to stop, in a preferred rack if possible. */
std::optional<victim_selection> find_selection(planning_context& p, const task_group& group,
                                               const task_group_request& request,
                                               ending_run_use ending_runs) {
    const auto racks = preferred_racks(p, group);
    return select_victims(p.state, racks, may_run_anywhere(p, group, !racks.empty()), p.victims,
                          group, request, ending_runs);
}

bool may_rely_on_ends(const planning_context& p, const task_group& group) {
    return may_rely_on_ends(p.state.limits, group, p.now_ms);
}

/**
 * Stops runs to free capacity for an urgent group, in the preferred rack where that costs least.
 * While the group may rely on expected ends, they count as free capacity; after that, runs that are
 * expected to end are stopped only if the others are not enough.
 */
void preempt(planning_context& p, const task_group& group, const task_group_request& request) {
    std::optional<victim_selection> selection;
    if (may_rely_on_ends(p, group)) {
        selection = find_selection(p, group, request, ending_run_use::awaited);
    } else {
        if (p.state.limits.learned_run_times) {
            selection = find_selection(p, group, request, ending_run_use::spared);
        }
        if (!selection) {
            selection = find_selection(p, group, request, ending_run_use::stopped);
        }
    }
    if (!selection) {
        return;
    }
    commit_selection(p.capacities(), p.victims, *selection);
    if (group.spec().gang) {
        reserve_capacity(p.state, group, selection->chosen, p.now_ms);
    }
    for (const auto& id : selection->victims) {
        p.result.preemptions.push_back({id, group.owner->spec.id});
    }
}

void plan_gang(planning_context& p, const task_group& group) {
    task_group_request request = make_request(p, group);
    bool waiting = false;
    if (!group.parent->steps[group.step].reserved_on.empty()) {
        const auto kind = may_rely_on_ends(p, group) ? capacity_kind::free_after_ends
                                                     : capacity_kind::free_after_stops;
        if (const auto chosen =
                claim_reservation(p.state, group, request, kind, p.now_ms, waiting)) {
            add_placements(p, group, *chosen);
            return;
        }
    }
    if (waiting) {
        return;
    }
    if (const auto chosen = place_gang(p, group, request, capacity_kind::free)) {
        add_placements(p, group, *chosen);
        return;
    }
    if (group.owner->spec.policy.priority != 0) {
        return;
    }
    // Capacity that is about to become free is booked for this group, so that later groups can't
    // take it.
    if (place_gang(p, group, request, capacity_kind::free_after_stops)) {
        return;
    }
    if (may_rely_on_ends(p, group)) {
        const auto chosen = place_gang(p, group, request, capacity_kind::free_after_ends);
        if (chosen) {
            // Without a reservation the next plan might choose another rack.
            reserve_capacity(p.state, group, *chosen, p.now_ms);
            return;
        }
    }
    preempt(p, group, request);
}

/** Returns whether the resources of the group's tasks are known not to fit on any worker now. */
bool is_infeasible(const planning_context& p, const task_group& group) {
    const resources need = booked_resources(group.spec());
    return std::any_of(
        p.infeasible_shapes.begin(), p.infeasible_shapes.end(), [&](const auto& known) {
            return known.first == group.owner->spec.policy.pool && fits(known.second, need);
        });
}

void record_infeasible_shape(planning_context& p, const task_group& group,
                             const task_group_request& request) {
    const bool restricted = !request.spec->required_label.empty() ||
                            !request.excluded_workers.empty() || limits_tasks_per_worker(request) ||
                            request.required_isolation != isolation::none;
    if (!restricted) {
        p.infeasible_shapes.emplace_back(group.owner->spec.policy.pool,
                                         booked_resources(group.spec()));
    }
}

/** Places the tasks that fit now and removes them from the group. */
void place_tasks(planning_context& p, task_group& group, task_group_request& request) {
    const auto place_in_scope = [&](search_scope scope) {
        const auto chosen =
            book_best_fit(p.capacities(), scope, request, group.tasks.size(), capacity_kind::free);
        add_placements(p, group, chosen);
        group.tasks.erase(group.tasks.begin(),
                          group.tasks.begin() + static_cast<std::ptrdiff_t>(chosen.size()));
    };
    const auto racks = preferred_racks(p, group);
    for (const search_scope rack : racks) {
        place_in_scope(rack);
    }
    if (!group.tasks.empty() && may_run_anywhere(p, group, !racks.empty())) {
        place_in_scope(all_racks);
        if (!group.tasks.empty()) {
            record_infeasible_shape(p, group, request);
        }
    }
}

/** Plans tasks that have the same requirements. */
void plan_uniform_tasks(planning_context& p, task_group group) {
    const bool urgent = group.owner->spec.policy.priority == 0;
    const bool infeasible = is_infeasible(p, group);
    if (infeasible && !urgent) {
        return;
    }
    task_group_request request = make_request(p, group);
    if (!infeasible) {
        place_tasks(p, group, request);
    }
    if (!urgent || group.tasks.empty()) {
        return;
    }
    std::vector capacities_to_come{capacity_kind::free_after_stops};
    if (may_rely_on_ends(p, group)) {
        capacities_to_come.push_back(capacity_kind::free_after_ends);
    }
    for (const auto kind : capacities_to_come) {
        const auto chosen =
            book_best_fit(p.capacities(), all_racks, request, group.tasks.size(), kind);
        group.tasks.erase(group.tasks.begin(),
                          group.tasks.begin() + static_cast<std::ptrdiff_t>(chosen.size()));
        if (group.tasks.empty()) {
            return;
        }
    }
    preempt(p, group, request);
}

/** Plans the tasks of a step. Each suspect is planned alone, because its runs are isolated. */
void plan_tasks(planning_context& p, task_group group) {
    const auto is_suspect_task = [&](std::uint32_t index) {
        return is_suspect(group.parent->steps[group.step].tasks[index].losses);
    };
    const auto first_suspect =
        std::stable_partition(group.tasks.begin(), group.tasks.end(),
                              [&](std::uint32_t index) { return !is_suspect_task(index); });
    const std::vector<std::uint32_t> suspects(first_suspect, group.tasks.end());
    group.tasks.erase(first_suspect, group.tasks.end());
    if (!group.tasks.empty()) {
        plan_uniform_tasks(p, group);
    }
    for (const std::uint32_t index : suspects) {
        group.tasks = {index};
        plan_uniform_tasks(p, group);
    }
}

} // namespace

plan make_plan(coordinator_state& state, time_ms now_ms) {
    constexpr int urgent_priority = 0;
    planning_context p{
        state, now_ms, {urgent_priority, now_ms, {}, {}}, is_mostly_idle(state.capacities), {},
        {},    {}};
    p.headroom_racks = choose_headroom_racks(
        state.capacities, headroom_accelerators(state.recent_urgent_jobs, state.limits,
                                                state.capacities.all_accelerators(), now_ms));
    auto groups = collect_task_groups(state, now_ms);
    // Groups with a reservation are planned first, so that no other group takes their capacity.
    std::stable_partition(groups.begin(), groups.end(), [](const task_group& g) {
        return !g.parent->steps[g.step].reserved_on.empty();
    });
    for (const auto& group : groups) {
        if (group.spec().gang) {
            plan_gang(p, group);
        } else {
            plan_tasks(p, group);
        }
    }
    return std::move(p.result);
}

} // namespace fulmarworks::scheduler
