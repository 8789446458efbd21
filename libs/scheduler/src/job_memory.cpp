#include "scheduler/job_memory.h"

#include "scheduler/coordinator.h"
#include "scheduler/job.h"

#include <algorithm>

namespace fulmarworks::scheduler {

std::size_t estimate_memory(const job_spec& spec) {
    std::size_t bytes = sizeof(job) + spec.payload.size();
    std::size_t tasks = 0;
    for (const auto& step : spec.steps) {
        bytes += sizeof(step_spec) + sizeof(step_progress) + step.required_label.size() +
                 step.data_rack.size() + step.depends_on.size() * sizeof(std::uint32_t);
        tasks += step.task_count;
    }
    return bytes + tasks * std::max<std::size_t>(spec.repeat_count, 1) * sizeof(task);
}

job_memory measure_memory(const coordinator_state& state) {
    job_memory memory;
    for (const auto& [id, j] : state.jobs) {
        const std::size_t bytes = estimate_memory(j->spec);
        memory.total += bytes;
        memory.by_account[j->spec.account] += bytes;
    }
    return memory;
}

} // namespace fulmarworks::scheduler
