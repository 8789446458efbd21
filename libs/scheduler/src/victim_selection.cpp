#include "victim_selection.h"

#include "lookup.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

/** Weight of a core against an accelerator when work is thrown away, from the platform's prices. */
constexpr double accelerator_cores = 8;
/** A stop makes a checkpoint, so such a task loses only the time to resume from it. */
constexpr time_ms resume_ms = 250;
/** Fixed cost of stopping and starting a task again. */
constexpr double restart_cost = 500;
/** Rooms that are looked at for one task, those with the most left first: enough for all workers of
 * today's deployments, and few enough for a decision within a millisecond at the target size. */
constexpr std::size_t max_candidates = 400;

double loss_of(const task& t, const step_spec& spec, time_ms now_ms) {
    time_ms lost = std::max<time_ms>(0, now_ms - t.started_at_ms);
    if (spec.checkpoints) {
        lost = std::min(lost, resume_ms);
    }
    const double cores = static_cast<double>(spec.per_task.cpu_millis) / 1000 +
                         accelerator_cores * static_cast<double>(spec.per_task.accelerators);
    return cores * static_cast<double>(lost) / accelerator_cores + restart_cost;
}

bool may_yield(const job& owner, const step_spec& spec, int priority) {
    return owner.spec.policy.priority > priority && !spec.long_running;
}

bool stoppable(task_phase phase) {
    return phase == task_phase::running || phase == task_phase::ordered;
}

std::optional<victim> make_victim(coordinator_state& state, const task_id& id, int priority,
                                  time_ms now_ms) {
    const task_ref place = find_task(state, id);
    if (!place || !stoppable(place.item->phase) ||
        !may_yield(*place.owner, *place.spec, priority)) {
        return std::nullopt;
    }
    victim v;
    if (!place.spec->gang) {
        v.members.push_back(id);
        v.frees = booked_resources(*place.spec);
        v.cost = loss_of(*place.item, *place.spec, now_ms);
        return v;
    }
    for (std::uint32_t i = 0; i < place.progress->tasks.size(); ++i) {
        const task& member = place.progress->tasks[i];
        if (stoppable(member.phase)) {
            v.members.push_back({id.job, id.occurrence, id.step, i});
            v.cost += loss_of(member, *place.spec, now_ms);
            if (member.where.id == place.item->where.id) {
                v.frees += booked_resources(*place.spec);
            }
        }
    }
    return v;
}

/** Returns what may be stopped in a room, cheapest first. */
const std::vector<victim>& victims_of(coordinator_state& state, victim_table& table,
                                      worker_index room) {
    const auto [entry, added] = table.by_room.try_emplace(room);
    if (added) {
        for (const auto& id : state.capacities.at(room).host->assigned) {
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

/** One way to make room; grows task by task, with its changes booked. */
struct attempt {
    coordinator_state& state;
    victim_table& table;
    task_group_request request;
    std::set<task_id> stopped;
    victim_selection choice;

    void change(const capacity_change& c) {
        state.capacities.adjust(c);
        choice.changes.push_back(c);
    }
};

/** Victims of one room whose end makes a task fit there. */
struct room_offer {
    worker_index room = 0;
    double cost = 0;
    std::vector<const victim*> victims;
};

/** Adds the cheapest victims of a room until the task fits. */
std::optional<room_offer> offer_of(attempt& a, worker_index number) {
    const worker_capacity& room = a.state.capacities.at(number);
    const resources need = booked_resources(*a.request.spec);
    resources free_after_stops = room.free_after_stops;
    room_offer offer{number, 0, {}};
    for (const auto& v : victims_of(a.state, a.table, number)) {
        if (fits(need, free_after_stops)) {
            break;
        }
        if (a.stopped.contains(v.members.front())) {
            continue;
        }
        free_after_stops += v.frees;
        offer.cost += v.cost;
        offer.victims.push_back(&v);
    }
    return fits(need, free_after_stops) ? std::optional(std::move(offer)) : std::nullopt;
}

void stop_victim(attempt& a, const victim& v) {
    for (const auto& id : v.members) {
        if (!a.stopped.insert(id).second) {
            continue;
        }
        const task_ref place = find_task(a.state, id);
        if (const worker_index* room = a.state.capacities.find(place.item->where.id)) {
            a.change({*room, {}, booked_resources(*place.spec)});
        }
    }
}

std::vector<worker_index> candidates(const attempt& a, search_scope among) {
    if (among != all_racks) {
        return among->workers;
    }
    std::vector<worker_index> capacities;
    const auto& open = a.state.capacities.accepting_workers(a.request.owner->spec.policy.pool);
    for (auto it = open.rbegin(); it != open.rend() && capacities.size() < max_candidates; ++it) {
        capacities.push_back(std::get<worker_index>(*it));
    }
    return capacities;
}

bool place_one(attempt& a, search_scope among) {
    std::optional<room_offer> best;
    for (const worker_index number : candidates(a, among)) {
        if (!eligible(a.state.capacities.at(number), a.request)) {
            continue;
        }
        auto offer = offer_of(a, number);
        if (offer && (!best || offer->cost < best->cost)) {
            best = std::move(offer);
        }
    }
    if (!best) {
        return false;
    }
    for (const auto* v : best->victims) {
        stop_victim(a, *v);
    }
    a.choice.cost += best->cost;
    a.choice.chosen.push_back(best->room);
    a.choice.changes.push_back(book(a.state.capacities, a.request, best->room));
    return true;
}

} // namespace

std::optional<victim_selection> choose_victims(coordinator_state& state, search_scope among,
                                               victim_table& table, const task_group& unit,
                                               const task_group_request& request) {
    attempt a{state, table, request, {}, {}};
    bool complete = true;
    for (std::size_t i = 0; complete && i < unit.tasks.size(); ++i) {
        complete = place_one(a, among);
    }
    for (auto c = a.choice.changes.rbegin(); c != a.choice.changes.rend(); ++c) {
        state.capacities.revert(*c);
    }
    if (!complete || a.stopped.empty()) {
        return std::nullopt;
    }
    a.choice.victims.assign(a.stopped.begin(), a.stopped.end());
    return std::move(a.choice);
}

void accept_choice(capacity_index& capacities, victim_table& table,
                   const victim_selection& choice) {
    for (const auto& change : choice.changes) {
        capacities.adjust(change);
    }
    table.stopped.insert(choice.victims.begin(), choice.victims.end());
    for (auto& [room, victims] : table.by_room) {
        std::erase_if(victims,
                      [&](const victim& v) { return table.stopped.contains(v.members.front()); });
    }
}

} // namespace fulmarworks::scheduler
