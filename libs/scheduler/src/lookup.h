#pragma once

#include "scheduler/coordinator.h"

namespace fulmarworks::scheduler {

/** A task with its job, occurrence and step; empty if the job or the task does not exist. */
struct task_ref {
    job* owner = nullptr;
    occurrence* parent = nullptr;
    step_progress* progress = nullptr;
    const step_spec* spec = nullptr;
    task* item = nullptr;

    explicit operator bool() const { return item != nullptr; }
};

[[nodiscard]] task_ref find_task(coordinator_state& state, const task_id& id);

/** Returns a worker that is listed or still has assignments or runs; null for any other. */
[[nodiscard]] worker* find_worker(coordinator_state& state, const std::string& id);

/** Returns whether the worker may get starts: it stays, and its failure domain isn't evacuated. */
[[nodiscard]] bool takes_starts(const coordinator_state& state, const worker& w);

/** Calls `visit(task_id, task_ref)` for every task of the job. */
template <class Visit>
void for_each_task(job& j, const Visit& visit) {
    for (auto& o : j.occurrences) {
        for (std::uint32_t s = 0; s < o.steps.size(); ++s) {
            for (std::uint32_t i = 0; i < o.steps[s].tasks.size(); ++i) {
                visit(task_id{j.spec.id, o.number, s, i},
                      task_ref{&j, &o, &o.steps[s], &j.spec.steps[s], &o.steps[s].tasks[i]});
            }
        }
    }
}

/** Returns whether a task in this phase occupies capacity on a worker. */
[[nodiscard]] constexpr bool is_assigned(task_phase phase) {
    return phase != task_phase::idle && phase != task_phase::complete;
}

/** Returns whether the task, or its gang, has failed as often as its job's policy allows. */
[[nodiscard]] bool attempts_exhausted(const task_ref& ref);

/** Returns the resources that a task of the step books on a worker. */
[[nodiscard]] resources booked_resources(const step_spec& spec);

} // namespace fulmarworks::scheduler
