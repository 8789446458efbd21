#include "defragment.h"

#include "placement/find_placement.h"

#include <algorithm>
#include <limits>

namespace fulmarworks {

namespace {

constexpr time_ms defragment_interval_ms = 10 * milliseconds_per_second;
constexpr time_ms max_draining_ms = 30 * milliseconds_per_second;
/** A job isn't moved this soon after its placement, so that none is moved repeatedly. */
constexpr time_ms min_time_placed_ms = 120 * milliseconds_per_second;
/** A job that is expected to end within this time isn't moved. */
constexpr time_ms min_time_left_ms = 30 * milliseconds_per_second;
constexpr std::size_t max_moves = 24;

int free_accelerators(const ledger_state& s) {
    int total = 0;
    for (const auto& p : s.hosts.pools()) {
        total += p.free_accelerators;
    }
    return total;
}

/** Cost of emptying one host and the jobs to move. */
struct drain_candidate {
    host_index host = 0;
    /** Accelerators of the jobs to move; the maximum value if the host can't be emptied. */
    int cost = std::numeric_limits<int>::max();
    std::vector<std::string> moved_jobs;
};

bool is_movable(const planning_step& p, const job& j, const job_class& c) {
    return c.preempt == preemption::checkpoint && j.phase == job_phase::placed && j.cell.empty() &&
           p.now >= j.placed_at + min_time_placed_ms;
}

/** Returns whether the job is expected to end soon without being moved. */
bool ends_soon(const planning_step& p, const job& j, const job_class& c) {
    return c.priority == urgency::urgent ||
           j.placed_at + planned_run_ms(p, j) < p.now + min_time_left_ms;
}

drain_candidate make_drain_candidate(const planning_step& p, host_index h) {
    drain_candidate result;
    result.host = h;
    if (!p.state.hosts.is_schedulable(h)) {
        return result;
    }
    int cost = 0;
    for (const auto& id : p.state.jobs_by_host[h]) {
        const job& j = p.state.jobs.at(id);
        const job_class* c = class_of(p.state, j);
        if (c == nullptr || p.stopped_jobs.contains(id)) {
            return result;
        }
        if (ends_soon(p, j, *c)) {
            continue;
        }
        if (!is_movable(p, j, *c)) {
            return result;
        }
        cost += std::max(requested_accelerators(j.request), 1);
        result.moved_jobs.push_back(id);
    }
    result.cost = cost;
    return result;
}

/**
 * Returns the cheapest hosts of a rack to empty so that one more job of `hosts` hosts fits; empty
 * if the rack has too few.
 */
std::vector<drain_candidate> cheapest_in_rack(const planning_step& p, const rack& r, int hosts) {
    std::vector<drain_candidate> candidates;
    for (const host_index h : r.hosts) {
        drain_candidate e = make_drain_candidate(p, h);
        if (e.cost != std::numeric_limits<int>::max()) {
            candidates.push_back(std::move(e));
        }
    }
    const auto needed = static_cast<std::size_t>((r.empty_hosts / hosts + 1) * hosts);
    if (candidates.size() < needed) {
        return {};
    }
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [](const drain_candidate& a, const drain_candidate& b) { return a.cost < b.cost; });
    candidates.resize(needed);
    return candidates;
}

int total_cost(const std::vector<drain_candidate>& hosts) {
    int total = 0;
    for (const auto& e : hosts) {
        total += e.cost;
    }
    return total;
}

std::vector<drain_candidate> cheapest_rack(const planning_step& p, int hosts) {
    std::vector<drain_candidate> best;
    for (const auto& r : p.state.hosts.racks()) {
        auto candidates = cheapest_in_rack(p, r, hosts);
        if (!candidates.empty() && (best.empty() || total_cost(candidates) < total_cost(best))) {
            best = std::move(candidates);
        }
    }
    return best;
}

std::vector<host_index> hosts_of(const std::vector<drain_candidate>& hosts) {
    std::vector<host_index> indexes;
    for (const auto& e : hosts) {
        indexes.push_back(e.host);
    }
    std::sort(indexes.begin(), indexes.end());
    return indexes;
}

/** Moves tasks tentatively and reverts the moves on destruction. */
class tentative_moves {
public:
    explicit tentative_moves(cluster& c) : cluster_(c) {}
    tentative_moves(const tentative_moves&) = delete;
    tentative_moves& operator=(const tentative_moves&) = delete;

    ~tentative_moves() {
        for (const auto& t : placed_) {
            cluster_.release(t.where, t.shape, false);
        }
        for (const auto& t : removed_) {
            cluster_.allocate(t.where, t.shape, t.pinned);
        }
    }

    void remove(const job& j) {
        for (const auto& member : j.members) {
            if (member.outcome == task_outcome::none) {
                cluster_.release(member.where, j.request.shape, j.pinned);
                removed_.push_back({member.where, j.request.shape, j.pinned});
            }
        }
    }

    bool place(const job& j, std::span<const host_index> avoid) {
        const placement_request request = {
            j.request.shape, j.request.tasks, false, accelerator_scope::unplanned,
            avoid,           false,           true};
        const auto blocks = find_placement(cluster_, request);
        if (!blocks) {
            return false;
        }
        for (const auto& b : *blocks) {
            cluster_.allocate(b, j.request.shape, false);
            placed_.push_back({b, j.request.shape, false});
        }
        return true;
    }

private:
    struct tentative_task {
        block where;
        task_shape shape;
        bool pinned = false;
    };

    cluster& cluster_;
    std::vector<tentative_task> removed_;
    std::vector<tentative_task> placed_;
};

/** Returns the fragmentation after emptying the hosts and placing the moved jobs elsewhere. */
double fragmentation_after(planning_step& p, const std::vector<drain_candidate>& hosts,
                           const std::set<std::string>& moved_jobs, const promised_shape& shape) {
    tentative_moves moves(p.state.hosts);
    std::set<std::string> removed_jobs;
    for (const auto& e : hosts) {
        const auto& on_host = p.state.jobs_by_host[e.host];
        removed_jobs.insert(on_host.begin(), on_host.end());
    }
    for (const auto& id : removed_jobs) {
        moves.remove(p.state.jobs.at(id));
    }
    const auto avoid = hosts_of(hosts);
    for (const auto& id : moved_jobs) {
        if (!moves.place(p.state.jobs.at(id), avoid)) {
            return 1;
        }
    }
    return fragmentation(p.state.hosts, shape.hosts, shape.accelerators_per_host);
}

} // namespace

void defragment(planning_step& p) {
    planner_state& m = p.planner;
    if (p.now >= m.draining_until) {
        m.draining_hosts.clear();
    }
    const promised_shape shape = largest_promised(p.state.config);
    if (!p.options.defragment || !prioritizes_low_fragmentation(p) || shape.total() == 0 ||
        p.now < m.next_defragment_at) {
        return;
    }
    m.next_defragment_at = p.now + defragment_interval_ms;
    const int free = free_accelerators(p.state);
    const double before = fragmentation(p.state.hosts, shape.hosts, shape.accelerators_per_host);
    if (free * before < shape.total()) {
        return;
    }
    const auto hosts = cheapest_rack(p, shape.hosts);
    std::set<std::string> moved_jobs;
    for (const auto& e : hosts) {
        moved_jobs.insert(e.moved_jobs.begin(), e.moved_jobs.end());
    }
    if (moved_jobs.empty() || moved_jobs.size() > max_moves ||
        fragmentation_after(p, hosts, moved_jobs, shape) >= before) {
        return;
    }
    jobs_moved r;
    for (const auto& id : moved_jobs) {
        r.targets.push_back({id, p.state.jobs.at(id).attempt, true});
        p.stopped_jobs.insert(id);
    }
    m.draining_hosts = hosts_of(hosts);
    m.draining_until = p.now + max_draining_ms;
    p.records.push_back(std::move(r));
}

bool avoids_draining_hosts(const planning_step& p, const job& j) {
    const promised_shape shape = largest_promised(p.state.config);
    return !p.planner.draining_hosts.empty() &&
           requested_accelerators(j.request) * 2 <= shape.total();
}

} // namespace fulmarworks
