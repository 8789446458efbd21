#include "infeasible_shapes.h"

#include "lookup.h"

#include <algorithm>

namespace fulmarworks::scheduler {

bool infeasible_shapes::has(const key& k, const resources& need, std::size_t count) const {
    const auto found = failed_.find(k);
    return found != failed_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const shape& known) {
               return known.count <= count && fits(known.need, need);
           });
}

bool infeasible_shapes::contains(capacity_search search, const task_group_request& request,
                                 std::size_t count) const {
    const auto* avoided = request.avoided_racks;
    if (failed_.empty() || (avoided != nullptr && avoided->contains(request.spec->data_rack))) {
        return false; // the others that failed had to avoid this rack
    }
    const queue_policy& policy = request.owner->policy;
    const step_spec& spec = *request.spec;
    const resources need = booked_resources(spec);
    const auto known = [&](const std::string& label, std::uint32_t limit) {
        return has({search, policy.priority == 0, policy.pool, label, limit}, need, count);
    };
    return known("", 0) || (!spec.required_label.empty() && known(spec.required_label, 0)) ||
           (spec.max_tasks_per_worker != 0 &&
            known(spec.required_label, spec.max_tasks_per_worker));
}

void infeasible_shapes::add(capacity_search search, const task_group_request& request,
                            std::size_t count) {
    const bool has_siblings =
        std::any_of(request.tasks_by_worker.begin(), request.tasks_by_worker.end(),
                    [](const auto& entry) { return entry.second > 0; });
    if (!request.excluded_workers.empty() || has_siblings ||
        request.required_isolation != isolation::none) {
        return;
    }
    const queue_policy& policy = request.owner->policy;
    const step_spec& spec = *request.spec;
    const shape failed{booked_resources(spec), count};
    // The limit for each worker doesn't matter for a single task.
    const std::uint32_t limit = count <= 1 ? 0 : spec.max_tasks_per_worker;
    auto& known = failed_[{search, policy.priority == 0, policy.pool, spec.required_label, limit}];
    std::erase_if(known, [&](const shape& s) {
        return failed.count <= s.count && fits(failed.need, s.need);
    });
    known.push_back(failed);
}

void infeasible_shapes::forget_stops() {
    std::erase_if(failed_, [](const auto& entry) {
        switch (std::get<capacity_search>(entry.first)) {
        case capacity_search::single_task:
        case capacity_search::gang_in_rack:
        case capacity_search::whole_gang: return false;
        default: return true;
        }
    });
}

} // namespace fulmarworks::scheduler
