#include "scheduler/job.h"

#include <algorithm>
#include <utility>

namespace fulmarworks::scheduler {

std::string_view name_of(job_state state) {
    switch (state) {
    case job_state::queued: return "queued";
    case job_state::running: return "running";
    case job_state::completed: return "completed";
    case job_state::failed: return "failed";
    case job_state::cancelled: return "cancelled";
    }
    return "invalid";
}

bool occurrence::complete() const {
    return std::all_of(steps.begin(), steps.end(), [](const auto& s) { return s.complete(); });
}

job make_job(job_spec spec) {
    job j;
    j.policy = spec.policy;
    j.policy_version = spec.policy_version;
    j.spec = std::move(spec);
    return j;
}

occurrence make_occurrence(const job_spec& spec, std::uint32_t number) {
    occurrence o;
    o.number = number;
    o.steps.resize(spec.steps.size());
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        o.steps[i].tasks.resize(spec.steps[i].task_count);
    }
    return o;
}

bool dependencies_complete(const job_spec& spec, const occurrence& o, std::uint32_t step) {
    const auto& dependency = spec.steps[step].depends_on;
    return std::all_of(dependency.begin(), dependency.end(), [&](std::uint32_t i) {
        return i < o.steps.size() && o.steps[i].complete();
    });
}

std::vector<time_ms> remaining_paths_ms(const job_spec& spec,
                                        std::span<const time_ms> step_run_ms) {
    // Steps depend on earlier ones only, so a step's own path is known before it is added to those
    // that it depends on.
    std::vector<time_ms> paths(spec.steps.size(), 0);
    for (std::size_t i = spec.steps.size(); i-- > 0;) {
        paths[i] += step_run_ms[i];
        for (const std::uint32_t dependency : spec.steps[i].depends_on) {
            paths[dependency] = std::max(paths[dependency], paths[i]);
        }
    }
    return paths;
}

std::int64_t max_step_accelerators(const job_spec& spec) {
    std::int64_t widest = 0;
    for (const auto& s : spec.steps) {
        widest = std::max(widest, s.per_task.accelerators * s.task_count);
    }
    return widest;
}

job_state derive_state(const job& j) {
    if (j.cancel_requested) {
        return job_state::cancelled;
    }
    if (j.failed) {
        return job_state::failed;
    }
    const std::size_t expected = std::max<std::size_t>(j.spec.repeat_count, 1);
    const bool all =
        j.occurrences.size() == expected && std::all_of(j.occurrences.begin(), j.occurrences.end(),
                                                        [](const auto& o) { return o.complete(); });
    if (all) {
        return job_state::completed;
    }
    return j.started ? job_state::running : job_state::queued;
}

time_ms due_wall_ms(const job_spec& spec, std::uint32_t number) {
    return spec.first_start_wall_ms + static_cast<time_ms>(number) * spec.repeat_interval_ms;
}

} // namespace fulmarworks::scheduler
