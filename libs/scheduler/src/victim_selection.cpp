#include "victim_selection.h"

#include "lookup.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace fulmarworks::scheduler {

namespace {

/**
 * Lost work on one accelerator counts as much as on this many cores, following the platform's
 * prices.
 */
constexpr double cores_per_accelerator = 8;
/**
 * Stopping a run creates a checkpoint, so a task with checkpoints loses only the time to resume.
 */
constexpr time_ms resume_duration_ms = 250;
/** Fixed cost of stopping and restarting a task. */
constexpr double restart_cost_accelerator_ms = 500;
/**
 * Maximum number of workers that are examined for one task, those with the most free accelerators
 * first: enough for all workers of current deployments, and few enough for a decision within a
 * millisecond at the target size.
 */
constexpr std::size_t max_candidates = 400;

double preemption_cost(const task& t, const step_spec& spec, time_ms now_ms) {
    time_ms lost = std::max<time_ms>(0, now_ms - t.started_at_ms);
    if (spec.checkpoints) {
        lost = std::min(lost, resume_duration_ms);
    }
    const double cores = static_cast<double>(spec.per_task.cpu_millis) / 1000 +
                         cores_per_accelerator * static_cast<double>(spec.per_task.accelerators);
    return cores * static_cast<double>(lost) / cores_per_accelerator + restart_cost_accelerator_ms;
}

/** A run that could not start again is not preempted, as its job would fail. */
bool may_be_preempted(const task_ref& ref, int priority) {
    return ref.owner->policy.priority > priority && !ref.spec->long_running &&
           !attempts_exhausted(ref);
}

bool is_stoppable(task_phase phase) {
    return phase == task_phase::running || phase == task_phase::ordered;
}

std::optional<victim> make_victim(coordinator_state& state, const task_id& id, int priority,
                                  time_ms now_ms) {
    const task_ref ref = find_task(state, id);
    if (!ref || !is_stoppable(ref.item->phase) || !may_be_preempted(ref, priority)) {
        return std::nullopt;
    }
    victim v;
    if (!ref.spec->gang) {
        v.members.push_back(id);
        v.freed_resources = booked_resources(*ref.spec);
        v.cost = preemption_cost(*ref.item, *ref.spec, now_ms);
        return v;
    }
    for (std::uint32_t i = 0; i < ref.progress->tasks.size(); ++i) {
        const task& member = ref.progress->tasks[i];
        if (is_stoppable(member.phase)) {
            v.members.push_back({id.job, id.occurrence, id.step, i});
            v.cost += preemption_cost(member, *ref.spec, now_ms);
            if (member.where.id == ref.item->where.id) {
                v.freed_resources += booked_resources(*ref.spec);
            }
        }
    }
    return v;
}

/** Returns the runs that may be stopped on a worker, cheapest first. */
const std::vector<victim>& victims_of(coordinator_state& state, victim_table& table,
                                      worker_index index) {
    const auto [entry, added] = table.by_worker.try_emplace(index);
    if (added) {
        for (const auto& id : state.capacities.at(index).host->assigned) {
            auto v = make_victim(state, id, table.priority, table.now_ms);
            if (v && !table.stopped.contains(v->members.front())) {
                entry->second.push_back(std::move(*v));
            }
        }
        std::sort(entry->second.begin(), entry->second.end(),
                  [](const victim& a, const victim& b) { return a.cost < b.cost; });
    }
    return entry->second;
}

/**
 * A selection in progress. It grows task by task, and its changes stay booked in the capacity
 * index.
 */
struct selection_attempt {
    coordinator_state& state;
    victim_table& table;
    task_group_request request;
    std::set<task_id> stopped;
    victim_selection selection;

    void change(const capacity_change& c) {
        state.capacities.adjust(c);
        selection.changes.push_back(c);
    }
};

/** Victims on one worker that must stop so that a task fits there. */
struct stop_option {
    worker_index index = 0;
    double cost = 0;
    std::vector<const victim*> victims;
};

/** Adds the cheapest victims of a worker until the task fits. */
std::optional<stop_option> find_cheapest_stops(selection_attempt& a, worker_index index) {
    const worker_capacity& capacity = a.state.capacities.at(index);
    const resources need = booked_resources(*a.request.spec);
    resources free_after_stops = capacity.free_after_stops;
    stop_option option{index, 0, {}};
    for (const auto& v : victims_of(a.state, a.table, index)) {
        if (fits(need, free_after_stops)) {
            break;
        }
        if (a.stopped.contains(v.members.front())) {
            continue;
        }
        free_after_stops += v.freed_resources;
        option.cost += v.cost;
        option.victims.push_back(&v);
    }
    return fits(need, free_after_stops) ? std::optional(std::move(option)) : std::nullopt;
}

void stop_victim(selection_attempt& a, const victim& v) {
    for (const auto& id : v.members) {
        if (!a.stopped.insert(id).second) {
            continue;
        }
        const task_ref ref = find_task(a.state, id);
        if (const worker_index* index = a.state.capacities.find(ref.item->where.id)) {
            a.change({*index, {}, booked_resources(*ref.spec)});
        }
    }
}

std::vector<worker_index> candidates(const selection_attempt& a, search_scope scope) {
    if (scope != all_racks) {
        return scope->workers;
    }
    std::vector<capacity_index::search_key> keys;
    for (const auto& accepting :
         a.state.capacities.accepting_workers(a.request.owner->policy.pool)) {
        const auto count = static_cast<std::ptrdiff_t>(std::min(max_candidates, accepting.size()));
        const auto middle = static_cast<std::ptrdiff_t>(keys.size());
        keys.insert(keys.end(), accepting.rbegin(), std::next(accepting.rbegin(), count));
        std::inplace_merge(keys.begin(), keys.begin() + middle, keys.end(), std::greater<>());
    }
    keys.resize(std::min(max_candidates, keys.size()));
    std::vector<worker_index> indices;
    indices.reserve(keys.size());
    for (const auto& key : keys) {
        indices.push_back(std::get<worker_index>(key));
    }
    return indices;
}

bool place_one_task(selection_attempt& a, search_scope scope) {
    std::optional<stop_option> best;
    for (const worker_index index : candidates(a, scope)) {
        if (!eligible(a.state.capacities.at(index), a.request)) {
            continue;
        }
        auto option = find_cheapest_stops(a, index);
        if (option && (!best || option->cost < best->cost)) {
            best = std::move(option);
        }
    }
    if (!best) {
        return false;
    }
    for (const auto* v : best->victims) {
        stop_victim(a, *v);
    }
    a.selection.cost += best->cost;
    a.selection.chosen.push_back(best->index);
    a.selection.changes.push_back(book(a.state.capacities, a.request, best->index));
    return true;
}

} // namespace

std::optional<victim_selection> select_victims(coordinator_state& state, search_scope scope,
                                               victim_table& table, const task_group& group,
                                               const task_group_request& request) {
    selection_attempt a{state, table, request, {}, {}};
    bool complete = true;
    for (std::size_t i = 0; complete && i < group.tasks.size(); ++i) {
        complete = place_one_task(a, scope);
    }
    for (auto c = a.selection.changes.rbegin(); c != a.selection.changes.rend(); ++c) {
        state.capacities.revert(*c);
    }
    if (!complete || a.stopped.empty()) {
        return std::nullopt;
    }
    a.selection.victims.assign(a.stopped.begin(), a.stopped.end());
    return std::move(a.selection);
}

void commit_selection(capacity_index& capacities, victim_table& table,
                      const victim_selection& selection) {
    for (const auto& change : selection.changes) {
        capacities.adjust(change);
    }
    table.stopped.insert(selection.victims.begin(), selection.victims.end());
    for (auto& [index, victims] : table.by_worker) {
        std::erase_if(victims,
                      [&](const victim& v) { return table.stopped.contains(v.members.front()); });
    }
}

} // namespace fulmarworks::scheduler
