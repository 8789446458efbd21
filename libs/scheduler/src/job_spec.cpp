#include "scheduler/job_spec.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

constexpr std::size_t max_steps = 256;
/** Tasks of all steps and occurrences together. A task takes some 300 bytes of the leader, so this
 * is 6 MB; the widest jobs of the target have 256 tasks. */
constexpr std::uint64_t max_task_runs = 20'000;
/** Thirty years; sums and products of such times with `max_task_runs` don't overflow. */
constexpr time_ms max_duration_ms = 1'000'000'000'000;
/** The year 33658; catches times that were given in another unit. */
constexpr time_ms max_wall_ms = 1'000'000'000'000'000;

bool within(time_ms value, time_ms maximum) {
    return value >= 0 && value <= maximum;
}

std::string_view find_violation(const step_spec& step, std::size_t index) {
    if (step.task_count == 0) {
        return "a step has no tasks";
    }
    if (!is_within_limits(step.per_task) || !within(step.estimate_ms, max_duration_ms)) {
        return "a step asks for less than nothing, or for more than there can be";
    }
    const bool in_order = std::all_of(step.depends_on.begin(), step.depends_on.end(),
                                      [&](std::uint32_t earlier) { return earlier < index; });
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
        if (const auto fault = find_violation(spec.steps[i], i); !fault.empty()) {
            return fault;
        }
        tasks += spec.steps[i].task_count;
    }
    if (tasks * std::max<std::uint64_t>(spec.repeat_count, 1) > max_task_runs) {
        return "the job has too many tasks, all occurrences counted";
    }
    const bool timed = within(spec.first_start_wall_ms, max_wall_ms) &&
                       within(spec.repeat_interval_ms, max_duration_ms);
    return timed ? "" : "the job's times are before 1970 or out of reach";
}

} // namespace fulmarworks::scheduler
