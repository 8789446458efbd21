#include "queue_changes.h"

namespace fulmarworks::scheduler {

namespace {

/** Moves a job between the urgent and the other jobs after a change of its policy. */
void update_urgency(coordinator_state& state, const job& j, bool was_urgent) {
    const bool urgent = j.policy.priority == 0;
    if (urgent == was_urgent) {
        return;
    }
    const std::int64_t demand = max_step_accelerators(j.spec);
    state.urgent_demand[j.spec.account] += urgent ? demand : -demand;
    if (!urgent) {
        state.waiting_urgent_jobs.erase(j.spec.id);
    } else if (state.waiting_jobs.contains(j.spec.id)) {
        state.waiting_urgent_jobs.insert(j.spec.id);
    }
}

/** Ends a job of which a task that isn't running has no attempts left under the new policy. */
void end_job_without_attempts(reduce_context& ctx, job& j) {
    for_each_task(j, [&](const task_id&, const task_ref& ref) {
        j.failed = j.failed || (ref.item->phase == task_phase::idle && attempts_exhausted(ref));
    });
    end_job_if_final(ctx, j);
}

/** Returns whether the job's policy has changed. */
bool follow_queue(reduce_context& ctx, job& j) {
    // The progress of an unreadable job must not be stored.
    if (j.ended() || ctx.state.unreadable_jobs.contains(j.spec.id)) {
        return false;
    }
    const bool was_urgent = j.policy.priority == 0;
    if (!adopt_queue_policy(ctx.state, j)) {
        return false;
    }
    update_urgency(ctx.state, j, was_urgent);
    mark_changed(ctx, j);
    end_job_without_attempts(ctx, j);
    return true;
}

} // namespace

bool adopt_queue_policy(const coordinator_state& state, job& j) {
    const auto newest = state.queues.by_queue.find(j.spec.queue);
    if (newest == state.queues.by_queue.end() || state.queues.version <= j.policy_version ||
        newest->second == j.policy) {
        return false;
    }
    j.policy = newest->second;
    j.policy_version = state.queues.version;
    return true;
}

void apply_queues(reduce_context& ctx, const queues_changed& e) {
    if (e.queues.version <= ctx.state.queues.version) {
        return;
    }
    ctx.state.queues = e.queues;
    std::map<std::string, std::size_t> jobs_by_queue;
    for (const auto& [id, j] : ctx.state.jobs) {
        if (follow_queue(ctx, *j)) {
            ++jobs_by_queue[j->spec.queue];
        }
    }
    for (const auto& [queue, jobs] : jobs_by_queue) {
        const queue_policy& policy = e.queues.by_queue.at(queue);
        log_decision(ctx, "queue_policy_changed",
                     "queue=" + queue + " version=" + std::to_string(e.queues.version) +
                         " jobs=" + std::to_string(jobs) + " pool=" + policy.pool +
                         " priority=" + std::to_string(policy.priority) +
                         " max_attempts=" + std::to_string(policy.max_attempts));
        ctx.state.plan_needed = true;
    }
}

} // namespace fulmarworks::scheduler
