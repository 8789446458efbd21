#include "planner.h"

#include "lookup.h"
#include "preemption.h"
#include "rooms.h"
#include "work_units.h"

#include <algorithm>
#include <optional>

namespace fulmarworks::scheduler {

namespace {

/** An urgent unit gives up its preferred rack after this share of the reclaim bound. */
constexpr double urgent_rack_patience = 0.4;
/** Other units wait this many times their run time before they run remotely at `remote_factor`. */
constexpr double rack_patience_runs = 1.5;
/** With this share of the accelerators free nothing waits long, as the rack's load is no reason. */
constexpr double idle_share = 0.4;
constexpr time_ms idle_rack_patience_ms = 1500;
/** Time for which room that was made for a unit is kept; longer than any stop takes. */
constexpr time_ms reservation_ms = 1500;

struct planning {
    coordinator_state& state;
    time_ms now_ms = 0;
    std::vector<worker_room> rooms;
    /** The last one stands for all racks together. */
    std::vector<rack_rooms> racks;
    /** What may be stopped for urgent units, worked out when the first one needs it. */
    std::optional<victim_table> victims;
    bool mostly_idle = false;
    plan result;
};

bool is_mostly_idle(const std::vector<worker_room>& rooms) {
    std::int64_t free = 0;
    std::int64_t total = 0;
    for (const auto& room : rooms) {
        if (room.open) {
            free += room.free.accelerators;
            total += room.host->report.capacity.accelerators;
        }
    }
    return static_cast<double>(free) >= idle_share * static_cast<double>(total);
}

placement_request make_request(const work_unit& unit) {
    placement_request request{unit.owner, &unit.spec(), {}, {}};
    for (const auto& t : unit.in->steps[unit.step].tasks) {
        if (is_assigned(t.phase)) {
            ++request.already_there[t.where.id];
        }
        if (!t.failed_on.empty()) {
            request.avoid.insert(t.failed_on);
        }
    }
    return request;
}

/** Returns whether the unit should still wait for the rack where it runs fastest. */
bool insists_on_rack(const planning& p, const work_unit& unit) {
    const time_ms waited = p.now_ms - unit.ready_at_ms;
    if (p.mostly_idle && waited >= idle_rack_patience_ms) {
        return false;
    }
    const auto patience =
        unit.owner->spec.terms.priority == 0
            ? urgent_rack_patience * static_cast<double>(p.state.limits.reclaim_ms)
            : rack_patience_runs * static_cast<double>(unit.spec().estimate_ms);
    return static_cast<double>(waited) < patience;
}

void accept(planning& p, const work_unit& unit, std::span<const std::size_t> chosen) {
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        p.result.placements.push_back(
            {{unit.owner->spec.id, unit.in->number, unit.step, unit.tasks[i]},
             p.rooms[chosen[i]].host->report.life});
    }
}

bool wants_one_rack(const step_spec& spec) {
    return spec.gang && spec.same_rack && spec.task_count > 1;
}

/** Returns the racks to try, in order; the one without a name stands for all together. */
std::vector<const rack_rooms*> racks_to_try(const planning& p, const work_unit& unit) {
    std::vector<const rack_rooms*> racks;
    const std::string& data_rack = unit.spec().data_rack;
    for (const auto& rack : p.racks) {
        const bool all = &rack == &p.racks.back();
        if (!all &&
            (rack.name == data_rack || (data_rack.empty() && wants_one_rack(unit.spec())))) {
            racks.push_back(&rack);
        }
    }
    if (racks.empty() || !insists_on_rack(p, unit)) {
        racks.push_back(&p.racks.back());
    }
    return racks;
}

/** Accelerators that stay free on the used workers; less is better. */
std::int64_t leftover(const planning& p, std::span<const std::size_t> chosen) {
    std::int64_t total = 0;
    for (const std::size_t i : chosen) {
        total += p.rooms[i].free.accelerators;
    }
    return total;
}

/** Places a whole gang into the rack that it fills best. */
std::optional<std::vector<std::size_t>> place_gang(planning& p, const work_unit& unit,
                                                   placement_request& request, room_kind kind) {
    const rack_rooms* best_rack = nullptr;
    std::int64_t best_left = 0;
    const resources need = booked(unit.spec());
    for (const auto* rack : racks_to_try(p, unit)) {
        if (rack == &p.racks.back() && best_rack != nullptr) {
            break;
        }
        if (!may_fit(p.rooms, *rack, need, unit.tasks.size(), kind)) {
            continue;
        }
        const auto chosen = best_fit(p.rooms, *rack, request, unit.tasks.size(), kind);
        const std::int64_t left = leftover(p, chosen);
        unbook(p.rooms, request, chosen);
        if (chosen.size() == unit.tasks.size() && (best_rack == nullptr || left < best_left)) {
            best_rack = rack;
            best_left = left;
        }
    }
    if (best_rack == nullptr) {
        return std::nullopt;
    }
    return best_fit(p.rooms, *best_rack, request, unit.tasks.size(), kind);
}

/** Keeps room for the unit until what occupies it has stopped. */
void reserve(const planning& p, const work_unit& unit, std::span<const std::size_t> chosen) {
    step_progress& progress = unit.in->steps[unit.step];
    progress.reserved_on.clear();
    for (const std::size_t i : chosen) {
        progress.reserved_on.push_back(p.rooms[i].host->report.life.id);
    }
    progress.reserved_until_ms = p.now_ms + reservation_ms;
}

/** Makes room for an urgent unit, in the rack where that is possible at the least cost. */
void preempt(planning& p, const work_unit& unit, const placement_request& request) {
    if (!p.victims) {
        p.victims = collect_victims(p.state, p.rooms, unit.owner->spec.terms.priority, p.now_ms);
    }
    std::optional<preemption_choice> best;
    for (const auto* rack : racks_to_try(p, unit)) {
        if (rack == &p.racks.back() && best) {
            break;
        }
        auto choice = choose_victims(p.state, p.rooms, *rack, *p.victims, unit, request);
        if (!choice.victims.empty() && (!best || choice.cost < best->cost)) {
            best = std::move(choice);
        }
    }
    if (!best) {
        return;
    }
    p.rooms = std::move(best->rooms);
    if (unit.spec().gang) {
        reserve(p, unit, best->chosen);
    }
    for (const auto& id : best->victims) {
        p.result.preemptions.push_back({id, unit.owner->spec.id});
    }
    remove_victims(*p.victims, best->victims);
}

/**
 * Books the room that was reserved for a unit earlier. Returns it if all of it is free now; a
 * reservation that can't be kept any more is dropped.
 */
std::optional<std::vector<std::size_t>>
claim_reservation(planning& p, const work_unit& unit, placement_request& request, bool& waiting) {
    step_progress& progress = unit.in->steps[unit.step];
    waiting = false;
    const resources need = booked(unit.spec());
    std::vector<std::size_t> chosen;
    bool free = true;
    for (const auto& id : progress.reserved_on) {
        const auto room = std::find_if(p.rooms.begin(), p.rooms.end(), [&](const auto& candidate) {
            return candidate.host->report.life.id == id;
        });
        if (room == p.rooms.end() || !eligible(*room, request) || !fits(need, room->soon)) {
            break;
        }
        free = free && fits(need, room->free);
        room->free -= need;
        room->soon -= need;
        ++request.already_there[id];
        chosen.push_back(static_cast<std::size_t>(room - p.rooms.begin()));
    }
    if (chosen.size() != unit.tasks.size() || p.now_ms > progress.reserved_until_ms) {
        unbook(p.rooms, request, chosen);
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

void plan_gang(planning& p, const work_unit& unit) {
    placement_request request = make_request(unit);
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
    if (const auto chosen = place_gang(p, unit, request, room_kind::free)) {
        accept(p, unit, *chosen);
        return;
    }
    if (unit.owner->spec.terms.priority != 0) {
        return;
    }
    // Room that is about to become free is kept for the unit by booking it here.
    if (!place_gang(p, unit, request, room_kind::soon)) {
        preempt(p, unit, request);
    }
}

void plan_tasks(planning& p, work_unit unit) {
    placement_request request = make_request(unit);
    for (const auto* rack : racks_to_try(p, unit)) {
        const auto chosen = best_fit(p.rooms, *rack, request, unit.tasks.size(), room_kind::free);
        accept(p, unit, chosen);
        unit.tasks.erase(unit.tasks.begin(),
                         unit.tasks.begin() + static_cast<std::ptrdiff_t>(chosen.size()));
    }
    if (unit.owner->spec.terms.priority != 0 || unit.tasks.empty()) {
        return;
    }
    const auto soon =
        best_fit(p.rooms, p.racks.back(), request, unit.tasks.size(), room_kind::soon);
    if (soon.size() < unit.tasks.size()) {
        unit.tasks.erase(unit.tasks.begin(),
                         unit.tasks.begin() + static_cast<std::ptrdiff_t>(soon.size()));
        preempt(p, unit, request);
    }
}

} // namespace

plan make_plan(coordinator_state& state, time_ms now_ms) {
    planning p{state, now_ms, measure_rooms(state, now_ms), {}, {}, false, {}};
    p.racks = group_by_rack(p.rooms);
    p.mostly_idle = is_mostly_idle(p.rooms);
    auto units = collect_units(state, now_ms);
    // Room that was made for a unit is booked before anything else can take it.
    std::stable_partition(units.begin(), units.end(), [](const work_unit& u) {
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
