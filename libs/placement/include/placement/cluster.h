#pragma once

#include "model/configuration.h"
#include "placement/block.h"

#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fulmarworks {

enum class host_status { off, starting, up, suspect, leaving, lost, removed };

template <>
struct enum_names<host_status> {
    static constexpr enum_name<host_status> names[] = {
        {host_status::off, "off"},         {host_status::starting, "starting"},
        {host_status::up, "up"},           {host_status::suspect, "suspect"},
        {host_status::leaving, "leaving"}, {host_status::lost, "lost"},
        {host_status::removed, "removed"}};
};

/** Occupancy of one host. Pinned work can't be stopped to reclaim a guarantee. */
struct host {
    std::string name;
    rack_index rack = 0;
    pool_index pool = 0;
    task_shape capacity;
    host_status status = host_status::off;
    /** Closed to new work by quarantine. */
    bool quarantined = false;
    /** Limited to one task until one succeeds. */
    bool on_probation = false;
    bool spare = false;
    int tasks = 0;
    accelerator_mask used = 0;
    accelerator_mask pinned = 0;
    /** Accelerators that the reclaim plan needs. */
    accelerator_mask planned = 0;
    /** Planned accelerators that wait for a reclaiming job. */
    accelerator_mask claimed = 0;
    task_shape used_total;
    task_shape pinned_total;
};

struct rack {
    std::string name;
    pool_index pool = 0;
    std::vector<host_index> hosts;
    /** Free accelerators on open hosts. */
    int free_accelerators = 0;
    /** Open hosts without any task. */
    int empty_hosts = 0;
};

struct pool {
    std::string name;
    std::string failure_domain;
    std::vector<rack_index> racks;
    int free_accelerators = 0;
    /** Free accelerators that no guarantee needs. */
    int free_unplanned_accelerators = 0;
};

/** Which free accelerators a placement may take. */
enum class accelerator_scope {
    /** Only those that no guarantee needs. */
    unplanned,
    /** Also planned ones that no reclaiming job has claimed. */
    unclaimed,
};

/**
 * Hosts, racks and pools with their occupancy, indexed by the longest run of free accelerators so
 * that a placement need not look at every host.
 *
 *     cluster c;
 *     const auto p = c.add_pool("gent-a", "gent-a");
 *     const auto r = c.add_rack(p, "gent-a-r1");
 *     const auto h = c.add_host(r, "gent-a-r1-h1", {8, 128, 256}, false);
 *     c.set_status(h, host_status::up);
 *     c.allocate({h, 0, 4}, {4, 16, 32}, true);
 *
 * Indexes stay valid for the life of the cluster. Not thread safe.
 */
class cluster {
public:
    /** Precondition: the name is new. */
    pool_index add_pool(std::string name, std::string failure_domain);

    /** Precondition: `owner` exists and the name is new. */
    rack_index add_rack(pool_index owner, std::string name);

    /** Precondition: `owner` exists and the name is new. The host starts as off. */
    host_index add_host(rack_index owner, std::string name, task_shape capacity, bool spare);

    void set_status(host_index h, host_status status);
    void set_quarantined(host_index h, bool quarantined);
    void set_probation(host_index h, bool on_probation);
    void set_planned(host_index h, accelerator_mask planned);
    void set_claimed(host_index h, accelerator_mask claimed);

    /** Takes a task's resources. Precondition: `can_allocate(b, shape)`. */
    void allocate(const block& b, const task_shape& shape, bool pinned);

    /** Gives back what `allocate` took with the same arguments. */
    void release(const block& b, const task_shape& shape, bool pinned);

    /** Returns whether the resources of a task are free, whoever they are planned for. */
    [[nodiscard]] bool can_allocate(const block& b, const task_shape& shape) const;

    /** Returns the accelerators of `h` that may be taken. */
    [[nodiscard]] accelerator_mask available(host_index h, accelerator_scope where) const;

    /** Returns whether cores and memory suffice; pinned work leaves the plan its share. */
    [[nodiscard]] bool has_cores_and_memory(host_index h, const task_shape& shape,
                                            bool pinned) const;

    /** Returns whether the host takes new work. */
    [[nodiscard]] bool is_schedulable(host_index h) const;

    [[nodiscard]] std::span<const host> hosts() const { return hosts_; }
    [[nodiscard]] std::span<const rack> racks() const { return racks_; }
    [[nodiscard]] std::span<const pool> pools() const { return pools_; }

    /** Returns the hosts that may be off, in ascending order. */
    [[nodiscard]] std::span<const host_index> spare_hosts() const { return spare_hosts_; }

    /** Returns the index of a name, if there is one. */
    [[nodiscard]] std::optional<host_index> find_host(std::string_view name) const;
    [[nodiscard]] std::optional<rack_index> find_rack(std::string_view name) const;
    [[nodiscard]] std::optional<pool_index> find_pool(std::string_view name) const;

    /** Returns the open hosts of `p` whose longest run in `where` is exactly `run`. */
    [[nodiscard]] const std::set<host_index>& hosts_with_run(pool_index p, accelerator_scope where,
                                                             int run) const;

private:
    using run_buckets = std::vector<std::set<host_index>>;

    struct indexed_runs {
        int unplanned = -1;
        int unclaimed = -1;
    };

    /** Applies a change to one host and keeps indexes and sums in step. */
    template <class Change>
    void update(host_index h, Change change);
    void unindex(host_index h);
    void index(host_index h);
    run_buckets& buckets(pool_index p, accelerator_scope where);

    std::vector<host> hosts_;
    std::vector<rack> racks_;
    std::vector<pool> pools_;
    std::vector<host_index> spare_hosts_;
    std::vector<indexed_runs> indexed_;
    std::vector<run_buckets> unplanned_;
    std::vector<run_buckets> unclaimed_;
    std::unordered_map<std::string, host_index> host_names_;
    std::unordered_map<std::string, rack_index> rack_names_;
    std::unordered_map<std::string, pool_index> pool_names_;
};

/**
 * Returns the share of free accelerators on open hosts that can't serve the shape of `hosts` x
 * `accelerators` in one rack; 0 where nothing is free. Precondition: both are above 0.
 */
[[nodiscard]] double fragmentation(const cluster& c, int hosts, int accelerators);

} // namespace fulmarworks
