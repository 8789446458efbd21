#include "scheduler/job_spec.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

constexpr std::size_t max_steps = 256;
/**
 * Limit for the tasks of all steps and occurrences together. A task takes about 300 bytes of the
 * leader's memory, so this is 6 MB; the widest jobs that must be supported have 256 tasks.
 */
constexpr std::uint64_t max_task_runs = 20'000;
/** About thirty years; sums and products of such durations with `max_task_runs` don't overflow. */
constexpr time_ms max_duration_ms = 1'000'000'000'000;
/** The year 33658; rejects times that were given in another unit. */
constexpr time_ms max_wall_ms = 1'000'000'000'000'000;

bool within(time_ms value, time_ms upper_bound) {
    return value >= 0 && value <= upper_bound;
}

std::string_view find_violation(const step_spec& step, std::size_t index) {
    if (step.task_count == 0) {
        return "a step has no tasks";
    }
    if (!is_within_limits(step.per_task) || !within(step.estimate_ms, max_duration_ms)) {
        return "a step has negative or excessively large resources or run time";
    }
    const bool in_order = std::all_of(step.depends_on.begin(), step.depends_on.end(),
                                      [&](std::uint32_t dependency) { return dependency < index; });
    return in_order ? "" : "a step depends on itself or on a later one";
}

} // namespace

std::string_view find_violation(const job_spec& spec) {
    if (spec.steps.empty()) {
        return "the job has no steps";
    }
    if (spec.steps.size() > max_steps) {
        return "the job has too many steps";
    }
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        if (const auto violation = find_violation(spec.steps[i], i); !violation.empty()) {
            return violation;
        }
        tasks += spec.steps[i].task_count;
    }
    if (tasks * std::max<std::uint64_t>(spec.repeat_count, 1) > max_task_runs) {
        return "the job has too many tasks over all its occurrences";
    }
    const bool valid_times = within(spec.first_start_wall_ms, max_wall_ms) &&
                             within(spec.repeat_interval_ms, max_duration_ms);
    return valid_times ? "" : "the job's start time or repeat interval is negative or too large";
}

} // namespace fulmarworks::scheduler
