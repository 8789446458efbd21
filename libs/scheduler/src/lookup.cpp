#include "lookup.h"

namespace fulmarworks::scheduler {

task_ref find_task(coordinator_state& state, const task_id& id) {
    const auto found = state.jobs.find(id.job);
    if (found == state.jobs.end()) {
        return {};
    }
    job& j = *found->second;
    if (id.occurrence >= j.occurrences.size() || id.step >= j.spec.steps.size()) {
        return {};
    }
    occurrence& o = j.occurrences[id.occurrence];
    step_progress& progress = o.steps[id.step];
    if (id.index >= progress.tasks.size()) {
        return {};
    }
    return {&j, &o, &progress, &j.spec.steps[id.step], &progress.tasks[id.index]};
}

worker* find_worker(coordinator_state& state, const std::string& id) {
    const auto found = state.workers.find(id);
    return found == state.workers.end() ? nullptr : &found->second;
}

bool takes_starts(const coordinator_state& state, const worker& w) {
    return !w.report.draining && !state.evacuated_domains.contains(w.report.failure_domain);
}

bool attempts_exhausted(const task_ref& ref) {
    const std::uint32_t failures =
        ref.spec->gang ? ref.progress->gang_failures : ref.item->failures;
    return !ref.spec->long_running && failures >= ref.owner->policy.max_attempts;
}

resources booked_resources(const step_spec& spec) {
    resources need = spec.per_task;
    if (spec.fills_idle_cpu) {
        need.cpu_millis = 0;
    }
    return need;
}

} // namespace fulmarworks::scheduler
