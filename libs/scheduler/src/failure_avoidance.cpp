#include "failure_avoidance.h"

#include "lookup.h"

#include <vector>

namespace fulmarworks::scheduler {

namespace {

/**
 * Time for which failures close a worker to the tasks of a step. A longer time would cost fewer
 * attempts on a worker that fails all it starts, but a job must not be idle for three seconds while
 * there is capacity for it.
 */
constexpr time_ms failure_avoidance_ms = 2000;

bool failed_recently(const task& t, time_ms now_ms) {
    return !t.failed_on.empty() && now_ms - t.failed_at_ms < failure_avoidance_ms;
}

std::set<std::string> workers_to_avoid(coordinator_state& state, const step_progress& progress,
                                       time_ms now_ms) {
    std::set<std::string> workers;
    for (const task& t : progress.tasks) {
        if (!failed_recently(t, now_ms)) {
            continue;
        }
        const worker* w = find_worker(state, t.failed_on);
        if (w == nullptr || w->completed_run_at_ms <= t.failed_at_ms) {
            workers.insert(t.failed_on);
        }
    }
    return workers;
}

} // namespace

void note_failed_run(task& t, time_ms now_ms) {
    t.failed_on = t.where.id;
    t.failed_at_ms = now_ms;
}

std::set<std::string> workers_with_failures(const step_progress& progress) {
    std::set<std::string> workers;
    for (const task& t : progress.tasks) {
        if (!t.failed_on.empty()) {
            workers.insert(t.failed_on);
        }
    }
    return workers;
}

task_group_request make_retry_request(coordinator_state& state, const task_group& group,
                                      const task_group_request& request, time_ms now_ms) {
    task_group_request retry = request;
    retry.excluded_workers.clear();
    if (!request.excluded_workers.empty() && !group.spec().long_running) {
        retry.excluded_workers = workers_to_avoid(state, group.parent->steps[group.step], now_ms);
    }
    return retry;
}

bool may_retry(const task_group& group, std::uint32_t index, time_ms now_ms) {
    return !failed_recently(group.parent->steps[group.step].tasks[index], now_ms);
}

task_group take_retries(task_group& group, time_ms now_ms) {
    task_group retries = group;
    std::erase_if(retries.tasks,
                  [&](std::uint32_t index) { return !may_retry(group, index, now_ms); });
    std::erase_if(group.tasks,
                  [&](std::uint32_t index) { return may_retry(group, index, now_ms); });
    return retries;
}

} // namespace fulmarworks::scheduler
