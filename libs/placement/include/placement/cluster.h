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

/** Resources of one host and their use. Pinned tasks can't be stopped to reclaim a guarantee. */
struct host {
    std::string name;
    rack_index rack = 0;
    pool_index pool = 0;
    task_shape capacity;
    host_status status = host_status::off;
    /** Takes no new tasks while true. */
    bool quarantined = false;
    /** Takes one task at a time until one succeeds. */
    bool on_probation = false;
    /** May be powered off while it is idle. */
    bool spare = false;
    int tasks = 0;
    accelerator_mask used = 0;
    accelerator_mask pinned = 0;
    /** Accelerators that the reclaim plan assigns to guarantees. */
    accelerator_mask planned = 0;
    /** Planned accelerators held for a job that reclaims its guarantee. */
    accelerator_mask claimed = 0;
    task_shape used_total;
    task_shape pinned_total;
};

struct rack {
    std::string name;
    pool_index pool = 0;
    std::vector<host_index> hosts;
    /** Free accelerators on schedulable hosts. */
    int free_accelerators = 0;
    /** Schedulable hosts that run no task. */
    int empty_hosts = 0;
};

struct pool {
    std::string name;
    std::string failure_domain;
    std::vector<rack_index> racks;
    int free_accelerators = 0;
    /** Free accelerators that the reclaim plan assigns to no guarantee. */
    int free_unplanned_accelerators = 0;
};

/** Which free accelerators a placement may use. */
enum class accelerator_scope {
    /** Only those that the reclaim plan assigns to no guarantee. */
    unplanned,
    /** Also planned ones that aren't claimed by a job that reclaims its guarantee. */
    unclaimed,
};

/**
 * Hosts, racks and pools with the resources in use. Hosts are indexed by their longest run of free
 * accelerators, so that a placement doesn't examine every host.
 *
 *     cluster c;
 *     const auto p = c.add_pool("gent-a", "gent-a");
 *     const auto r = c.add_rack(p, "gent-a-r1");
 *     const auto h = c.add_host(r, "gent-a-r1-h1", {8, 128, 256}, false);
 *     c.set_status(h, host_status::up);
 *     c.allocate({h, 0, 4}, {4, 16, 32}, true);
 *
 * Indexes stay valid for the lifetime of the cluster. Not thread safe.
 */
class cluster {
public:
    /** Precondition: the name is new. */
    pool_index add_pool(std::string name, std::string failure_domain);

    /** Precondition: `parent` exists and the name is new. */
    rack_index add_rack(pool_index parent, std::string name);

    /** Precondition: `parent` exists and the name is new. The host starts with the status `off`. */
    host_index add_host(rack_index parent, std::string name, task_shape capacity, bool spare);

    void set_status(host_index h, host_status status);
    void set_quarantined(host_index h, bool quarantined);
    void set_probation(host_index h, bool on_probation);
    void set_planned(host_index h, accelerator_mask planned);
    void set_claimed(host_index h, accelerator_mask claimed);

    /** Allocates the resources of a task. Precondition: `can_allocate(b, shape)`. */
    void allocate(const block& b, const task_shape& shape, bool pinned);

    /** Releases what `allocate` allocated with the same arguments. */
    void release(const block& b, const task_shape& shape, bool pinned);

    /** Returns whether the resources of a task are free, including planned and claimed ones. */
    [[nodiscard]] bool can_allocate(const block& b, const task_shape& shape) const;

    /** Returns the free accelerators of `h` within `scope`. */
    [[nodiscard]] accelerator_mask available(host_index h, accelerator_scope scope) const;

    /**
     * Returns whether `h` has the free cores and memory that `shape` needs. Pinned tasks also have
     * to leave the planned accelerators their proportional share of the host's cores and memory.
     */
    [[nodiscard]] bool has_cores_and_memory(host_index h, const task_shape& shape,
                                            bool pinned) const;

    /** Returns whether the host takes new tasks. */
    [[nodiscard]] bool is_schedulable(host_index h) const;

    [[nodiscard]] std::span<const host> hosts() const { return hosts_; }
    [[nodiscard]] std::span<const rack> racks() const { return racks_; }
    [[nodiscard]] std::span<const pool> pools() const { return pools_; }

    /** Returns the hosts that may be powered off, in ascending order. */
    [[nodiscard]] std::span<const host_index> spare_hosts() const { return spare_hosts_; }

    /** Returns the index of a name, or nothing if the name is unknown. */
    [[nodiscard]] std::optional<host_index> find_host(std::string_view name) const;
    [[nodiscard]] std::optional<rack_index> find_rack(std::string_view name) const;
    [[nodiscard]] std::optional<pool_index> find_pool(std::string_view name) const;

    /** Returns the schedulable hosts of `p` whose longest run within `scope` is `run` long. */
    [[nodiscard]] const std::set<host_index>& hosts_with_run(pool_index p, accelerator_scope scope,
                                                             int run) const;

private:
    using hosts_by_run = std::vector<std::set<host_index>>;

    struct indexed_run_lengths {
        int unplanned = -1;
        int unclaimed = -1;
    };

    /** Changes one host and updates its index entries and the totals of its rack and pool. */
    template <class Change>
    void update(host_index h, Change change);
    void remove_from_index(host_index h);
    void add_to_index(host_index h);
    hosts_by_run& buckets(pool_index p, accelerator_scope scope);

    std::vector<host> hosts_;
    std::vector<rack> racks_;
    std::vector<pool> pools_;
    std::vector<host_index> spare_hosts_;
    std::vector<indexed_run_lengths> indexed_run_lengths_;
    std::vector<hosts_by_run> unplanned_;
    std::vector<hosts_by_run> unclaimed_;
    std::unordered_map<std::string, host_index> host_names_;
    std::unordered_map<std::string, rack_index> rack_names_;
    std::unordered_map<std::string, pool_index> pool_names_;
};

/**
 * Returns the share of the free accelerators on schedulable hosts, from 0 to 1, that no job of
 * `hosts` hosts in one rack with `accelerators` adjacent accelerators each can use; 0 if no
 * accelerator is free. Precondition: both are above 0.
 */
[[nodiscard]] double fragmentation(const cluster& c, int hosts, int accelerators);

} // namespace fulmarworks
