#include "reservation.h"

#include "base/digest.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr std::size_t max_reservations = 4;
constexpr std::size_t max_racks_searched = 64;
constexpr time_ms update_interval_ms = 30 * milliseconds_per_second;

struct host_availability {
    host_index host = 0;
    time_ms free_at = 0;
    int tasks = 0;
};

/** Returns the time by which all tasks on a host are expected to end. */
time_ms expected_free_at(const planning_step& p, host_index h) {
    time_ms free_at = p.now;
    for (const auto& id : p.state.jobs_by_host[h]) {
        const job& j = p.state.jobs.at(id);
        const time_ms end = j.placed_at + planned_run_ms(p, j);
        // A job past its expected end is expected to run on for as long as it is overdue.
        const time_ms overdue = std::max<time_ms>(p.now - end, 0);
        free_at = std::max(free_at, end + 2 * overdue);
    }
    return free_at;
}

int tasks_per_host(const host& h, const task_shape& shape) {
    int fitting = h.capacity.cores / std::max(shape.cores, 1);
    fitting = std::min(fitting, h.capacity.memory_gb / std::max(shape.memory_gb, 1));
    return std::min(fitting, h.capacity.accelerators / std::max(shape.accelerators, 1));
}

/** Returns the hosts of a rack that are free soonest for all tasks; empty if it has too few. */
host_reservation soonest_in_rack(const planning_step& p, const rack& r, const job& j) {
    std::vector<host_availability> hosts;
    for (const host_index h : r.hosts) {
        const host& state = p.state.hosts.hosts()[h];
        if (p.state.hosts.is_schedulable(h) && state.planned == 0) {
            hosts.push_back({h, expected_free_at(p, h), tasks_per_host(state, j.request.shape)});
        }
    }
    std::stable_sort(hosts.begin(), hosts.end(),
                     [](const auto& a, const auto& b) { return a.free_at < b.free_at; });
    host_reservation found;
    int tasks = 0;
    for (const auto& h : hosts) {
        if (tasks >= j.request.tasks) {
            break;
        }
        tasks += h.tasks;
        found.hosts.push_back(h.host);
        found.start_at = h.free_at;
    }
    if (tasks < j.request.tasks) {
        found.hosts.clear();
    }
    std::sort(found.hosts.begin(), found.hosts.end());
    return found;
}

} // namespace

void reserve_for(planning_step& p, const job& j) {
    auto& reservations = p.planner.reservations;
    const auto existing = reservations.find(j.id);
    const bool is_new = existing == reservations.end();
    if (is_new ? reservations.size() >= max_reservations
               : p.now < existing->second.updated_at + update_interval_ms) {
        return;
    }
    const auto& racks = p.state.hosts.racks();
    host_reservation best;
    const std::size_t first = racks.empty() ? 0 : hash64(j.id) % racks.size();
    for (std::size_t i = 0; i < std::min(racks.size(), max_racks_searched); ++i) {
        auto found = soonest_in_rack(p, racks[(first + i) % racks.size()], j);
        if (!found.hosts.empty() && (best.hosts.empty() || found.start_at < best.start_at)) {
            best = std::move(found);
        }
    }
    if (!best.hosts.empty()) {
        best.updated_at = p.now;
        best.rank = is_new ? p.planner.next_reservation_rank++ : existing->second.rank;
        reservations[j.id] = std::move(best);
    }
}

std::vector<host_index> reserved_hosts(const planning_step& p, const job& j) {
    std::vector<host_index> hosts;
    const job_class* c = class_of(p.state, j);
    if (c != nullptr && c->priority == urgency::urgent) {
        return hosts;
    }
    const auto& reservations = p.planner.reservations;
    const auto own = reservations.find(j.id);
    const time_ms end = p.now + planned_run_ms(p, j);
    for (const auto& [id, reservation] : reservations) {
        const bool has_precedence =
            own == reservations.end() || reservation.rank < own->second.rank;
        if (id != j.id && has_precedence && end > reservation.start_at) {
            hosts.insert(hosts.end(), reservation.hosts.begin(), reservation.hosts.end());
        }
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

void expire_reservations(planning_step& p) {
    std::erase_if(p.planner.reservations, [&](const auto& entry) {
        const job* j = find_job(p.state, entry.first);
        return j == nullptr || j->phase != job_phase::queued;
    });
}

} // namespace fulmarworks
