#include "preemption.h"

#include "lookup.h"

#include <algorithm>
#include <optional>

namespace fulmarworks::scheduler {

namespace {

/** Weight of a core against an accelerator when work is thrown away, from the platform's prices. */
constexpr double accelerator_cores = 8;
/** A stop makes a checkpoint, so such a task loses only the time to resume from it. */
constexpr time_ms resume_ms = 250;
/** Fixed cost of stopping and starting a task again. */
constexpr double restart_cost = 500;

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
    return owner.spec.terms.priority > priority && !spec.long_running;
}

bool stoppable(task_phase phase) {
    return phase == task_phase::running || phase == task_phase::ordered;
}

std::optional<victim> make_victim(coordinator_state& state, const task_id& id, int priority,
                                  time_ms now_ms) {
    const task_place place = find_task(state, id);
    if (!place || !stoppable(place.item->phase) ||
        !may_yield(*place.owner, *place.spec, priority)) {
        return std::nullopt;
    }
    victim v;
    if (!place.spec->gang) {
        v.members.push_back(id);
        v.cost = loss_of(*place.item, *place.spec, now_ms);
        return v;
    }
    for (std::uint32_t i = 0; i < place.progress->tasks.size(); ++i) {
        const task& member = place.progress->tasks[i];
        if (stoppable(member.phase)) {
            v.members.push_back({id.job, id.occurrence, id.step, i});
            v.cost += loss_of(member, *place.spec, now_ms);
        }
    }
    return v;
}

/** One way to make room; grows task by task. */
struct attempt {
    std::vector<worker_room> rooms;
    placement_request request;
    std::set<task_id> stopped;
    std::vector<std::size_t> chosen;
    double cost = 0;
};

/** Stops the cheapest victims of a room until the task fits; returns the cost if it then fits. */
std::optional<double> cost_to_fit(const attempt& a, const std::vector<victim>& victims,
                                  std::size_t room, coordinator_state& state,
                                  std::vector<const victim*>& chosen) {
    const resources need = booked(*a.request.spec);
    resources soon = a.rooms[room].soon;
    double cost = 0;
    for (const auto& v : victims) {
        if (fits(need, soon)) {
            break;
        }
        if (a.stopped.contains(v.members.front())) {
            continue;
        }
        for (const auto& id : v.members) {
            const task_place place = find_task(state, id);
            if (place.item->where.id == a.rooms[room].host->report.life.id) {
                soon += booked(*place.spec);
            }
        }
        cost += v.cost;
        chosen.push_back(&v);
    }
    return fits(need, soon) ? std::optional(cost) : std::nullopt;
}

void stop_victim(attempt& a, const victim& v, coordinator_state& state) {
    for (const auto& id : v.members) {
        if (!a.stopped.insert(id).second) {
            continue;
        }
        const task_place place = find_task(state, id);
        for (auto& room : a.rooms) {
            if (room.host->report.life.id == place.item->where.id) {
                room.soon += booked(*place.spec);
                break;
            }
        }
    }
    a.cost += v.cost;
}

bool place_one(attempt& a, const rack_rooms& among, const victim_table& table,
               coordinator_state& state) {
    std::size_t best = a.rooms.size();
    double best_cost = 0;
    std::vector<const victim*> best_victims;
    for (const std::size_t i : among.rooms) {
        if (!eligible(a.rooms[i], a.request)) {
            continue;
        }
        std::vector<const victim*> victims;
        const auto cost = cost_to_fit(a, table[i], i, state, victims);
        if (cost && (best == a.rooms.size() || *cost < best_cost)) {
            best = i;
            best_cost = *cost;
            best_victims = std::move(victims);
        }
    }
    if (best == a.rooms.size()) {
        return false;
    }
    for (const auto* v : best_victims) {
        stop_victim(a, *v, state);
    }
    const resources need = booked(*a.request.spec);
    a.rooms[best].soon -= need;
    a.rooms[best].free -= need;
    ++a.request.already_there[a.rooms[best].host->report.life.id];
    a.chosen.push_back(best);
    return true;
}

} // namespace

victim_table collect_victims(coordinator_state& state, std::span<const worker_room> rooms,
                             int priority, time_ms now_ms) {
    victim_table table(rooms.size());
    for (std::size_t i = 0; i < rooms.size(); ++i) {
        if (!rooms[i].open) {
            continue;
        }
        for (const auto& id : rooms[i].host->assigned) {
            if (auto v = make_victim(state, id, priority, now_ms)) {
                table[i].push_back(std::move(*v));
            }
        }
        std::sort(table[i].begin(), table[i].end(),
                  [](const victim& a, const victim& b) { return a.cost < b.cost; });
    }
    return table;
}

void remove_victims(victim_table& table, std::span<const task_id> stopped) {
    const std::set<task_id> gone(stopped.begin(), stopped.end());
    for (auto& victims : table) {
        std::erase_if(victims, [&](const victim& v) { return gone.contains(v.members.front()); });
    }
}

preemption_choice choose_victims(coordinator_state& state, std::span<const worker_room> rooms,
                                 const rack_rooms& among, const victim_table& table,
                                 const work_unit& unit, const placement_request& request) {
    attempt a{{rooms.begin(), rooms.end()}, request, {}, {}, 0};
    for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
        if (!place_one(a, among, table, state)) {
            return {};
        }
    }
    return {{a.stopped.begin(), a.stopped.end()}, std::move(a.chosen), std::move(a.rooms), a.cost};
}

} // namespace fulmarworks::scheduler
