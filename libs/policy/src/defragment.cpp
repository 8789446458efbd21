#include "defragment.h"

#include "placement/find_placement.h"

#include <algorithm>
#include <limits>

namespace fulmarworks {

namespace {

constexpr time_ms interval_ms = 10 * milliseconds_per_second;
constexpr time_ms draining_limit_ms = 30 * milliseconds_per_second;
/** A task that was placed this recently is left alone, so that none is moved over and over. */
constexpr time_ms min_time_placed_ms = 120 * milliseconds_per_second;
/** Work with less than this left ends by itself soon enough. */
constexpr time_ms min_time_left_ms = 30 * milliseconds_per_second;
constexpr std::size_t max_moves = 24;

int free_accelerators(const ledger_state& s) {
    int total = 0;
    for (const auto& p : s.hosts.pools()) {
        total += p.free_accelerators;
    }
    return total;
}

/** What it takes to empty one host. */
struct emptying {
    host_index host = 0;
    /** Accelerators in use, the measure of cost. */
    int cost = std::numeric_limits<int>::max();
    std::vector<std::string> moved;
};

bool is_movable(const planning& p, const job& j, const job_class& c) {
    return c.preempt == preemption::checkpoint && j.phase == job_phase::placed && j.cell.empty() &&
           p.now >= j.placed_at + min_time_placed_ms;
}

/** Returns whether the task will be gone soon enough without being moved. */
bool ends_soon(const planning& p, const job& j, const job_class& c) {
    return c.priority == urgency::urgent ||
           j.placed_at + planned_run_ms(p, j) < p.now + min_time_left_ms;
}

emptying cost_to_empty(const planning& p, host_index h) {
    emptying result;
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
        cost += std::max(total_accelerators(j.request), 1);
        result.moved.push_back(id);
    }
    result.cost = cost;
    return result;
}

/** Returns the hosts of a rack to empty for one shape more; empty if there are too few. */
std::vector<emptying> cheapest_in_rack(const planning& p, const rack& r, int hosts) {
    std::vector<emptying> found;
    for (const host_index h : r.hosts) {
        emptying e = cost_to_empty(p, h);
        if (e.cost != std::numeric_limits<int>::max()) {
            found.push_back(std::move(e));
        }
    }
    const auto wanted = static_cast<std::size_t>((r.empty_hosts / hosts + 1) * hosts);
    if (found.size() < wanted) {
        return {};
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const emptying& a, const emptying& b) { return a.cost < b.cost; });
    found.resize(wanted);
    return found;
}

int total_cost(const std::vector<emptying>& hosts) {
    int total = 0;
    for (const auto& e : hosts) {
        total += e.cost;
    }
    return total;
}

std::vector<emptying> cheapest_rack(const planning& p, int hosts) {
    std::vector<emptying> best;
    for (const auto& r : p.state.hosts.racks()) {
        auto found = cheapest_in_rack(p, r, hosts);
        if (!found.empty() && (best.empty() || total_cost(found) < total_cost(best))) {
            best = std::move(found);
        }
    }
    return best;
}

std::vector<host_index> hosts_of(const std::vector<emptying>& hosts) {
    std::vector<host_index> indexes;
    for (const auto& e : hosts) {
        indexes.push_back(e.host);
    }
    std::sort(indexes.begin(), indexes.end());
    return indexes;
}

/** Moves tasks on trial and puts everything back when it goes out of scope. */
class trial_moves {
public:
    explicit trial_moves(cluster& c) : cluster_(c) {}
    trial_moves(const trial_moves&) = delete;
    trial_moves& operator=(const trial_moves&) = delete;

    ~trial_moves() {
        for (const auto& t : placed_) {
            cluster_.release(t.where, t.shape, false);
        }
        for (const auto& t : lifted_) {
            cluster_.allocate(t.where, t.shape, t.pinned);
        }
    }

    void lift(const job& j) {
        for (const auto& member : j.members) {
            if (member.outcome == task_outcome::none) {
                cluster_.release(member.where, j.request.shape, j.pinned);
                lifted_.push_back({member.where, j.request.shape, j.pinned});
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
    struct trial_task {
        block where;
        task_shape shape;
        bool pinned = false;
    };

    cluster& cluster_;
    std::vector<trial_task> lifted_;
    std::vector<trial_task> placed_;
};

/** Returns the fragmentation once the hosts are empty and the moved jobs run elsewhere. */
double fragmentation_after(planning& p, const std::vector<emptying>& hosts,
                           const std::set<std::string>& moved, const promised_shape& shape) {
    trial_moves trial(p.state.hosts);
    std::set<std::string> lifted;
    for (const auto& e : hosts) {
        const auto& on_host = p.state.jobs_by_host[e.host];
        lifted.insert(on_host.begin(), on_host.end());
    }
    for (const auto& id : lifted) {
        trial.lift(p.state.jobs.at(id));
    }
    const auto avoid = hosts_of(hosts);
    for (const auto& id : moved) {
        if (!trial.place(p.state.jobs.at(id), avoid)) {
            return 1;
        }
    }
    return fragmentation(p.state.hosts, shape.hosts, shape.accelerators_per_host);
}

} // namespace

void defragment(planning& p) {
    planner_state& m = p.memory;
    if (p.now >= m.draining_until) {
        m.draining.clear();
    }
    const promised_shape shape = largest_promised(p.state.config);
    if (!p.options.defragment || !weighs_fragmentation(p) || shape.total() == 0 ||
        p.now < m.next_defragment_at) {
        return;
    }
    m.next_defragment_at = p.now + interval_ms;
    const int free = free_accelerators(p.state);
    const double before = fragmentation(p.state.hosts, shape.hosts, shape.accelerators_per_host);
    if (free * before < shape.total()) {
        return;
    }
    const auto hosts = cheapest_rack(p, shape.hosts);
    std::set<std::string> moved;
    for (const auto& e : hosts) {
        moved.insert(e.moved.begin(), e.moved.end());
    }
    if (moved.empty() || moved.size() > max_moves ||
        fragmentation_after(p, hosts, moved, shape) >= before) {
        return;
    }
    jobs_moved r;
    for (const auto& id : moved) {
        r.targets.push_back({id, p.state.jobs.at(id).attempt, true});
        p.stopped_jobs.insert(id);
    }
    m.draining = hosts_of(hosts);
    m.draining_until = p.now + draining_limit_ms;
    p.records.push_back(std::move(r));
}

bool avoids_draining(const planning& p, const job& j) {
    const promised_shape shape = largest_promised(p.state.config);
    return !p.memory.draining.empty() && total_accelerators(j.request) * 2 <= shape.total();
}

} // namespace fulmarworks
