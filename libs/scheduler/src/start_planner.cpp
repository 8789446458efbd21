#include "start_planner.h"

#include "capacity.h"
#include "failure_avoidance.h"
#include "gang_reservation.h"
#include "group_placement.h"
#include "infeasible_shapes.h"
#include "lookup.h"
#include "speed_preference.h"
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
/**
 * Maximum number of racks that are compared for one gang: more than current deployments have, and
 * few enough for a decision within a millisecond at the target size.
 */
constexpr std::size_t max_racks_compared = 50;

struct planning_context {
    coordinator_state& state;
    time_ms now_ms = 0;
    /** Runs that may be stopped for urgent groups. */
    victim_table victims;
    bool mostly_idle = false;
    /** Racks in which only urgent tasks are placed. */
    std::set<std::string_view> headroom_racks;
    infeasible_shapes infeasible;
    plan result;

    [[nodiscard]] capacity_index& capacities() const { return state.capacities; }
};

bool is_mostly_idle(const capacity_index& capacities) {
    return static_cast<double>(capacities.free_accelerators()) >=
           mostly_idle_share * static_cast<double>(capacities.all_accelerators());
}

task_group_request make_request(const planning_context& p, const task_group& group) {
    const bool urgent = group.owner->policy.priority == 0;
    task_group_request request;
    request.owner = group.owner;
    request.spec = &group.spec();
    request.avoided_racks = urgent ? nullptr : &p.headroom_racks;
    const step_progress& progress = group.parent->steps[group.step];
    if (limits_tasks_per_worker(request)) {
        for (const auto& t : progress.tasks) {
            if (is_assigned(t.phase)) {
                ++request.tasks_by_worker[t.where.id];
            }
        }
    }
    request.excluded_workers = workers_with_failures(progress);
    return request;
}

/** Sets how strictly the runs of a group, which may be a part of the request's, are kept apart. */
void set_isolation(const planning_context& p, const task_group& group,
                   task_group_request& request) {
    request.required_isolation = isolation::none;
    for (const std::uint32_t index : group.tasks) {
        const task& t = group.parent->steps[group.step].tasks[index];
        request.required_isolation =
            std::max(request.required_isolation, required_isolation(t, p.now_ms));
    }
}

/** Returns whether the group should still wait for its preferred rack. */
bool waits_for_rack(const planning_context& p, const task_group& group) {
    const time_ms waited = p.now_ms - group.ready_at_ms;
    if (p.mostly_idle && waited >= mostly_idle_rack_wait_ms) {
        return false;
    }
    const settings& limits = p.state.limits;
    const auto wait_limit =
        group.owner->policy.priority == 0
            ? urgent_rack_wait_share * static_cast<double>(limits.reclaim_ms)
            : rack_wait_share * (limits.remote_factor - 1) *
                  static_cast<double>(group.owner->expected_step_run_ms[group.step]);
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

/** Returns whether the group may run on any rack if its preferred racks lack free capacity. */
bool may_run_anywhere(const planning_context& p, const task_group& group, bool has_preferred_rack) {
    return !has_preferred_rack || !waits_for_rack(p, group);
}

/**
 * Places a whole gang: in a preferred rack if possible, and within it on the best speed classes, as
 * leaving the rack slows a gang more than a slower worker does.
 */
std::optional<std::vector<worker_index>> place_gang(planning_context& p, const task_group& group,
                                                    task_group_request& request,
                                                    capacity_kind kind) {
    const std::size_t count = group.tasks.size();
    const bool of_stops = kind == capacity_kind::free_after_stops;
    const auto in_rack =
        of_stops ? capacity_search::gang_in_rack_after_stops : capacity_search::gang_in_rack;
    const auto anywhere =
        of_stops ? capacity_search::whole_gang_after_stops : capacity_search::whole_gang;
    if (p.infeasible.contains(anywhere, request, count)) {
        return std::nullopt;
    }
    const auto racks = preferred_racks(p.capacities(), group);
    const auto speeds = gang_speeds(p.state, group.owner->policy.priority);
    std::optional<std::vector<worker_index>> chosen;
    if (!racks.empty() && !p.infeasible.contains(in_rack, request, count)) {
        for (auto it = speeds.begin(); it != speeds.end() && !chosen; ++it) {
            request.speeds = *it;
            const search_scope rack = find_best_rack(p.capacities(), group, racks, request, kind);
            if (rack != all_racks) {
                chosen = book_whole_group(p.capacities(), group, rack, request, kind);
            }
        }
        if (!chosen && group.spec().data_rack.empty()) {
            p.infeasible.add(in_rack, request, count);
        }
    }
    if (!chosen && may_run_anywhere(p, group, !racks.empty())) {
        for (auto it = speeds.begin(); it != speeds.end() && !chosen; ++it) {
            request.speeds = *it;
            chosen = book_whole_group(p.capacities(), group, all_racks, request, kind);
        }
        if (!chosen) {
            p.infeasible.add(anywhere, request, count);
        }
    }
    request.speeds = all_speeds;
    return chosen;
}

/** Returns the cheapest set of runs to stop in one of the preferred racks. */
std::optional<victim_selection> find_cheapest_selection(planning_context& p,
                                                        const task_group& group,
                                                        std::span<const search_scope> racks,
                                                        const task_group_request& request) {
    std::optional<victim_selection> best;
    std::size_t tried = 0;
    const auto needed = booked_resources(group.spec()).accelerators *
                        static_cast<std::int64_t>(group.spec().gang ? group.tasks.size() : 1);
    // Start with the racks that have the most free accelerators, as they need the fewest stops.
    for (auto rack = racks.rbegin(); rack != racks.rend() && tried < max_racks_compared; ++rack) {
        if ((*rack)->all_accelerators < needed) {
            continue;
        }
        ++tried;
        auto selection = select_victims(p.state, *rack, p.victims, group, request);
        if (selection && (!best || selection->cost < best->cost)) {
            best = std::move(selection);
        }
    }
    return best;
}

/**
 * Stops runs to free capacity for an urgent group, in the preferred rack where that costs least.
 */
void preempt(planning_context& p, const task_group& group, const task_group_request& request) {
    constexpr auto search = capacity_search::preemption;
    if (p.infeasible.contains(search, request, group.tasks.size())) {
        return;
    }
    const auto racks = preferred_racks(p.capacities(), group);
    std::optional<victim_selection> selection;
    if (!p.infeasible.contains(capacity_search::preemption_in_rack, request, group.tasks.size())) {
        selection = find_cheapest_selection(p, group, racks, request);
        if (!selection && !racks.empty() && group.spec().data_rack.empty()) {
            p.infeasible.add(capacity_search::preemption_in_rack, request, group.tasks.size());
        }
    }
    if (!selection && may_run_anywhere(p, group, !racks.empty())) {
        selection = select_victims(p.state, all_racks, p.victims, group, request);
        if (!selection) {
            p.infeasible.add(search, request, group.tasks.size());
        }
    }
    if (!selection) {
        return;
    }
    commit_selection(p.capacities(), p.victims, *selection);
    p.infeasible.forget_stops(); // a stopped run may leave more than the group needs
    if (group.spec().gang) {
        reserve_capacity(p.state, group, selection->chosen, p.now_ms);
    }
    for (const auto& id : selection->victims) {
        p.result.preemptions.push_back({id, group.owner->spec.id});
    }
}

void plan_gang(planning_context& p, const task_group& group) {
    task_group_request request = make_request(p, group);
    set_isolation(p, group, request);
    const bool retries = std::all_of(group.tasks.begin(), group.tasks.end(), [&](std::uint32_t i) {
        return may_retry(group, i, p.now_ms);
    });
    task_group_request retry =
        retries ? make_retry_request(p.state, group, request, p.now_ms) : request;
    bool waiting = false;
    if (!group.parent->steps[group.step].reserved_on.empty()) {
        if (const auto chosen = claim_reservation(p.state, group, retry, p.now_ms, waiting)) {
            add_placements(p, group, *chosen);
            return;
        }
    }
    if (waiting) {
        return;
    }
    auto chosen = place_gang(p, group, request, capacity_kind::free);
    if (!chosen && !request.excluded_workers.empty() && retries) {
        chosen = place_gang(p, group, retry, capacity_kind::free);
    }
    if (chosen) {
        add_placements(p, group, *chosen);
        return;
    }
    if (group.owner->policy.priority != 0) {
        return;
    }
    // Capacity that is about to become free is booked for this group, so that later groups can't
    // take it.
    if (!place_gang(p, group, retry, capacity_kind::free_after_stops)) {
        preempt(p, group, retry);
    }
}

/** Places the tasks that fit now and removes them from the group. */
void place_tasks(planning_context& p, task_group& group, task_group_request& request) {
    if (p.infeasible.contains(capacity_search::single_task, request, 1)) {
        return;
    }
    const auto add_chosen = [&](std::span<const worker_index> chosen) {
        add_placements(p, group, chosen);
        group.tasks.erase(group.tasks.begin(),
                          group.tasks.begin() + static_cast<std::ptrdiff_t>(chosen.size()));
    };
    const auto speeds = task_speeds(p.state, group.owner->policy.priority);
    const auto place_in_scope = [&](search_scope scope) {
        request.speeds = speeds.all_or_nothing;
        if (request.speeds.any()) {
            if (const auto chosen =
                    book_whole_group(p.capacities(), group, scope, request, capacity_kind::free)) {
                add_chosen(*chosen);
            }
        }
        for (auto it = speeds.in_order.begin(); it != speeds.in_order.end(); ++it) {
            request.speeds = *it;
            add_chosen(book_best_fit(p.capacities(), scope, request, group.tasks.size(),
                                     capacity_kind::free));
        }
        request.speeds = all_speeds;
    };
    const auto racks = preferred_racks(p.capacities(), group);
    for (const search_scope rack : racks) {
        place_in_scope(rack);
    }
    if (!group.tasks.empty() && may_run_anywhere(p, group, !racks.empty())) {
        place_in_scope(all_racks);
        if (!group.tasks.empty()) {
            p.infeasible.add(capacity_search::single_task, request, 1);
        }
    }
}

/** Stops runs for the tasks of an urgent group, unless pending stops free enough capacity. */
void reclaim(planning_context& p, task_group& group, task_group_request& request) {
    if (group.tasks.empty()) {
        return;
    }
    if (!p.infeasible.contains(capacity_search::single_task_after_stops, request, 1)) {
        const auto chosen = book_best_fit(p.capacities(), all_racks, request, group.tasks.size(),
                                          capacity_kind::free_after_stops);
        if (chosen.size() == group.tasks.size()) {
            return;
        }
        group.tasks.erase(group.tasks.begin(),
                          group.tasks.begin() + static_cast<std::ptrdiff_t>(chosen.size()));
        p.infeasible.add(capacity_search::single_task_after_stops, request, 1);
    }
    preempt(p, group, request);
}

/** Requests of a step. */
struct step_requests {
    task_group_request usual;
    task_group_request retry;
};

/** Plans tasks of a step that have the same requirements. */
void plan_uniform_tasks(planning_context& p, task_group group, step_requests& requests) {
    const bool urgent = group.owner->policy.priority == 0;
    set_isolation(p, group, requests.usual);
    place_tasks(p, group, requests.usual);
    if (!group.tasks.empty() && !requests.usual.excluded_workers.empty()) {
        task_group retries = take_retries(group, p.now_ms);
        requests.retry.required_isolation = requests.usual.required_isolation;
        requests.retry.tasks_by_worker.swap(requests.usual.tasks_by_worker);
        place_tasks(p, retries, requests.retry);
        if (urgent) {
            reclaim(p, retries, requests.retry);
        }
        requests.retry.tasks_by_worker.swap(requests.usual.tasks_by_worker);
    }
    if (urgent) {
        reclaim(p, group, requests.usual);
    }
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
    step_requests requests;
    requests.usual = make_request(p, group);
    requests.retry = make_retry_request(p.state, group, requests.usual, p.now_ms);
    if (!group.tasks.empty()) {
        plan_uniform_tasks(p, group, requests);
    }
    for (const std::uint32_t index : suspects) {
        group.tasks = {index};
        plan_uniform_tasks(p, group, requests);
    }
}

} // namespace

plan make_plan(coordinator_state& state, plan_scope scope, time_ms now_ms) {
    constexpr int urgent_priority = 0;
    planning_context p{
        state, now_ms, {urgent_priority, now_ms, {}, {}}, is_mostly_idle(state.capacities), {},
        {},    {}};
    p.headroom_racks = choose_headroom_racks(
        state.capacities, headroom_accelerators(state.recent_urgent_jobs, state.limits,
                                                state.capacities.all_accelerators(), now_ms));
    auto groups = collect_task_groups(state, scope, now_ms);
    p.result.groups = groups.size();
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
