#pragma once

#include "capacity.h"

#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace fulmarworks::scheduler {

/** Ways in which a plan looks for capacity. */
enum class capacity_search {
    single_task,              // free capacity for one task
    single_task_after_stops,  // the same once the pending stops are done
    gang_in_rack,             // free capacity for a gang in one rack
    whole_gang,               // free capacity for a gang in any racks
    gang_in_rack_after_stops, // these two once the pending stops are done
    whole_gang_after_stops,
    preemption_in_rack, // runs to stop in one rack, for a gang
    preemption,         // runs to stop anywhere, for all tasks of a group
};

/**
 * Requests for which a plan has found no capacity. As free capacity only shrinks during a plan, it
 * need not look again for as much or more. Otherwise one job with thousands of steps or occurrences
 * that can't be placed would cost a search of all workers for each of them. Not thread safe.
 */
class infeasible_shapes {
public:
    /** Returns whether a request for as many tasks, or fewer, of at most this size has failed. */
    [[nodiscard]] bool contains(capacity_search search, const task_group_request& request,
                                std::size_t count) const;

    /**
     * Records that a request has failed. Ignores one that has requirements of its own besides
     * resources, label and the limit for each worker, as its failure says nothing about others.
     */
    void add(capacity_search search, const task_group_request& request, std::size_t count);

    /** Forgets what failed on capacity that stops free. Call it when the plan stops more runs. */
    void forget_stops();

private:
    struct shape {
        resources need;
        std::size_t count = 0;
    };
    /**
     * Search, whether the work is urgent (which may use other racks and speeds), pool, label (empty
     * for any) and limit for each worker (0 for none).
     */
    using key = std::tuple<capacity_search, bool, std::string, std::string, std::uint32_t>;

    [[nodiscard]] bool has(const key& k, const resources& need, std::size_t count) const;

    std::map<key, std::vector<shape>> failed_;
};

} // namespace fulmarworks::scheduler
