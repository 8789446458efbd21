#include "lifecycle.h"

#include "completion.h"
#include "expected_run.h"
#include "failure_avoidance.h"
#include "overbooking.h"
#include "speed_learning.h"
#include "start_permission.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

/**
 * Workers refuse a start that arrives later than this. It is also the first lease of an idle
 * worker, so it must last through a change of leader until the new leader has polled all workers.
 */
constexpr time_ms start_validity_ms = 3000;
/**
 * Number of jobs with failed runs on a worker, without a success in between, after which it is
 * quarantined.
 */
constexpr std::size_t failed_jobs_before_quarantine = 2;
/** A worker that answered this long ago is certain enough to be up for the start of a suspect. */
constexpr time_ms fresh_answer_ms = 100;
/** Time for which a worker on which tasks fail gets no new ones. */
constexpr time_ms quarantine_ms = 6000;

void record_failed_job(reduce_context& ctx, const std::string& worker_id,
                       const std::string& job_id) {
    worker* w = find_worker(ctx.state, worker_id);
    if (w == nullptr) {
        return;
    }
    w->failed_jobs.insert(job_id);
    if (w->failed_jobs.size() >= failed_jobs_before_quarantine) {
        w->failed_jobs.clear();
        quarantine_worker(ctx, *w, quarantine_ms);
        log_decision(ctx, "worker_quarantined",
                     "worker=" + worker_id + " for_ms=" + std::to_string(quarantine_ms));
    }
}

void count_failure(reduce_context& ctx, const task_ref& ref, const ended_run& end) {
    std::uint32_t& failures = ref.spec->gang ? ref.progress->gang_failures : ref.item->failures;
    // Several members of a gang's run may be listed as failed; the run has failed once.
    const bool counted = ref.spec->gang && end.run <= ref.progress->last_failed_gang_run;
    if (!counted) {
        ++failures;
        ++ref.owner->effort.failed_runs;
    }
    if (ref.spec->gang && !counted) {
        ref.progress->last_failed_gang_run = end.run;
    }
    note_failed_run(*ref.item, ctx.now.monotonic_ms);
    record_failed_job(ctx, ref.item->where.id, end.task.job);
    if (attempts_exhausted(ref)) {
        ref.owner->failed = true;
    }
}

void update_checkpoint(const task_ref& ref, const std::string& checkpoint) {
    if (checkpoint.empty()) {
        return;
    }
    if (!ref.spec->gang) {
        ref.item->checkpoint = checkpoint;
        return;
    }
    for (auto& member : ref.progress->tasks) {
        member.checkpoint = checkpoint;
    }
}

/** Releases one task, whatever becomes of the other members of its gang. */
void release_alone(reduce_context& ctx, const task_id& id, const task_ref& ref,
                   std::string_view reason) {
    log_decision(ctx, "task_released",
                 describe_task(id, ref.item->run) + " worker=" + ref.item->where.id +
                     " reason=" + std::string(reason));
    ++ref.owner->effort.releases;
    release_capacity(ctx, id, *ref.item);
    leave_run(ctx, ref);
    mark_changed(ctx, *ref.owner);
}

/**
 * Stops the other members of a gang that lost one, because the run can't complete. Members that
 * weren't started are released here: through `release_task`, each would stop the rest in turn, as
 * deep as the gang is large.
 */
void stop_rest_of_gang(reduce_context& ctx, const task_id& id, const task_ref& ref) {
    if (!ref.spec->gang) {
        return;
    }
    for (std::uint32_t i = 0; i < ref.progress->tasks.size(); ++i) {
        task& member = ref.progress->tasks[i];
        if (i == id.index || !is_assigned(member.phase) || member.phase == task_phase::stopping) {
            continue;
        }
        task_id other = id;
        other.index = i;
        const task_ref member_ref{ref.owner, ref.parent, ref.progress, ref.spec, &member};
        if (member.phase == task_phase::placed) {
            release_alone(ctx, other, member_ref, "gang_member_lost");
        } else {
            stop_task(ctx, other, member_ref, "gang_member_lost");
        }
    }
}

std::string_view name_of(end_reason reason) {
    switch (reason) {
    case end_reason::done: return "done";
    case end_reason::failed: return "failed";
    case end_reason::stopped: return "stopped";
    case end_reason::lease_expired: return "lease_expired";
    case end_reason::gang_broken: return "gang_broken";
    case end_reason::gang_incomplete: return "gang_incomplete";
    }
    return "invalid";
}

} // namespace

void log_decision(reduce_context& ctx, std::string name, std::string fields) {
    ctx.out.emplace_back(decision{std::move(name), std::move(fields)});
}

std::string describe_task(const task_id& id, std::uint32_t run) {
    return "request=" + id.job + " task=" + std::to_string(id.occurrence) + "." +
           std::to_string(id.step) + "." + std::to_string(id.index) + " run=" + std::to_string(run);
}

void mark_changed(reduce_context& ctx, const job& j) {
    ctx.state.changed_jobs.insert(j.spec.id);
}

void mark_waiting(coordinator_state& state, const job& j) {
    state.waiting_jobs.insert(j.spec.id);
    if (j.policy.priority == 0) {
        state.waiting_urgent_jobs.insert(j.spec.id);
    }
}

void register_active_job(coordinator_state& state, const job& j) {
    mark_waiting(state, j);
    state.recurring_jobs.insert(j.spec.id);
    if (j.policy.priority == 0) {
        state.recent_urgent_jobs.add(j.accepted_at_ms, max_step_accelerators(j.spec));
        state.urgent_demand[j.spec.account] += max_step_accelerators(j.spec);
    }
}

void quarantine_worker(reduce_context& ctx, worker& w, time_ms for_ms) {
    w.quarantined_until_ms = std::max(w.quarantined_until_ms, ctx.now.monotonic_ms + for_ms);
    ctx.state.capacities.mark_stale(w.report.incarnation.id);
}

void assign_task(reduce_context& ctx, const task_id& id, const worker_incarnation& where,
                 std::uint32_t run) {
    const task_ref ref = find_task(ctx.state, id);
    task& t = *ref.item;
    t.phase = task_phase::placed;
    t.run = run;
    t.where = where;
    t.percent = 0;
    t.order_attempts = 0;
    t.stop_confirmed_at_ms = 0;
    t.start_sent_until_ms = 0;
    t.start_expires_at_worker_ms = 0;
    t.confirmed_at_ms = 0;
    t.measured_from_ms = 0;
    t.proven = false;
    t.observed_from_start = false;
    t.lost = false;
    t.start_delayed = false;
    t.start_allowed = false;
    job_effort& effort = ref.owner->effort;
    effort.placed_at_ms = effort.placements++ == 0 ? ctx.now.monotonic_ms : effort.placed_at_ms;
    ctx.state.workers.at(where.id).assigned.insert(id);
    ctx.state.capacities.mark_stale(where.id);
    mark_changed(ctx, *ref.owner);
    ctx.state.actions_after_next_batch.emplace_back(deferred_start{id, run});
    log_decision(ctx, "task_placed", describe_task(id, run) + " worker=" + where.id);
}

void order_start(reduce_context& ctx, const task_id& id, task_ref ref) {
    task& t = *ref.item;
    worker& w = ctx.state.workers.at(t.where.id);
    t.phase = task_phase::ordered;
    t.ordered_at_ms = ctx.now.monotonic_ms;
    if (t.order_attempts == 0) {
        t.started_at_ms = ctx.now.monotonic_ms;
        t.observed_from_start = t.checkpoint.empty();
    }
    ++t.order_attempts;
    const time_ms deadline = worker_clock(w, ctx.now.monotonic_ms) + start_validity_ms;
    t.start_expires_at_worker_ms = std::max(t.start_expires_at_worker_ms, deadline);
    t.start_sent_until_ms = ctx.now.monotonic_ms + start_sending_limit(ctx.state.limits);
    grant_lease(w, deadline);
    ctx.out.emplace_back(send_start{t.where, w.report.address, id, t.run, ref.owner->spec.payload,
                                    t.checkpoint, deadline, t.start_sent_until_ms});
}

void release_placed_tasks(reduce_context& ctx, worker& w, std::string_view reason) {
    const auto assigned = w.assigned;
    for (const auto& id : assigned) {
        const task_ref ref = find_task(ctx.state, id);
        if (ref && ref.item->phase == task_phase::placed) {
            release_task(ctx, id, ref, reason);
        }
    }
}

bool answered_just_before(const worker& w, time_ms at_ms) {
    return at_ms - w.answered_at_ms <= fresh_answer_ms;
}

bool awaits_answer(const task& t, const worker& w, time_ms now_ms) {
    return t.phase == task_phase::placed && is_suspect(t.losses) &&
           !answered_just_before(w, now_ms);
}

void send_allowed_starts(reduce_context& ctx, worker& w) {
    if (!takes_starts(ctx.state, w)) {
        release_placed_tasks(ctx, w, w.report.draining ? "worker_drains" : "domain_evacuated");
        return;
    }
    const bool capacity_in_use = std::any_of(w.orphaned_runs.begin(), w.orphaned_runs.end(),
                                             [](const auto& orphan) { return orphan.ending; });
    if (capacity_in_use) {
        return;
    }
    release_excess_placements(ctx, w);
    const bool current_view = has_current_view(ctx.state, ctx.now.monotonic_ms);
    for (const auto& id : w.assigned) {
        const task_ref ref = find_task(ctx.state, id);
        if (!ref || ref.item->phase != task_phase::placed || !ref.item->start_allowed ||
            awaits_answer(*ref.item, w, ctx.now.monotonic_ms)) {
            continue;
        }
        if (current_view) {
            order_start(ctx, id, ref);
        } else {
            hold_starts(ctx);
        }
    }
}

void stop_task(reduce_context& ctx, const task_id& id, task_ref ref, std::string_view reason) {
    task& t = *ref.item;
    if (t.phase == task_phase::placed) {
        release_task(ctx, id, ref, reason);
        return;
    }
    if (t.phase == task_phase::unverified) {
        // The worker must be polled first; `apply_active_run` stops the run if its job has ended.
        return;
    }
    if (t.phase != task_phase::stopping) {
        t.phase = task_phase::stopping;
        t.order_attempts = 0;
        ctx.state.capacities.mark_stale(t.where.id);
        log_decision(ctx, "task_stopping",
                     describe_task(id, t.run) + " worker=" + t.where.id +
                         " reason=" + std::string(reason));
    }
    t.ordered_at_ms = ctx.now.monotonic_ms;
    ++t.order_attempts;
    if (const worker* w = find_worker(ctx.state, t.where.id)) {
        ctx.out.emplace_back(send_stop{t.where, w->report.address, id, t.run});
    }
}

void release_task(reduce_context& ctx, const task_id& id, task_ref ref, std::string_view reason) {
    release_alone(ctx, id, ref, reason);
    stop_rest_of_gang(ctx, id, ref);
    end_job_if_final(ctx, *ref.owner);
}

void apply_end(reduce_context& ctx, const task_ref& ref, const ended_run& end) {
    job& owner = *ref.owner;
    owner.started = true;
    log_decision(ctx, "task_ended",
                 describe_task(end.task, end.run) + " worker=" + ref.item->where.id +
                     " reason=" + std::string(name_of(end.reason)));
    update_checkpoint(ref, end.checkpoint);
    if (end.reason == end_reason::done && !ref.spec->long_running) {
        if (worker* w = find_worker(ctx.state, ref.item->where.id)) {
            w->failed_jobs.clear();
            w->completed_run_at_ms = ctx.now.monotonic_ms;
        }
        measure_end(ctx, end.task, ref);
        record_run_time(ctx.state, ref, ctx.now.monotonic_ms);
        complete_run(ctx, ref, end);
    } else {
        if (end.reason == end_reason::failed && !ref.item->completed_earlier) {
            count_failure(ctx, ref, end);
        }
        release_capacity(ctx, end.task, *ref.item);
        leave_run(ctx, ref);
        stop_rest_of_gang(ctx, end.task, ref);
    }
    mark_changed(ctx, owner);
    end_job_if_final(ctx, owner);
}

void end_job_if_final(reduce_context& ctx, job& j) {
    if (!j.ended() && is_final(derive_state(j))) {
        end_job(ctx, j);
    }
}

void end_job(reduce_context& ctx, job& j) {
    ctx.state.recurring_jobs.erase(j.spec.id);
    if (j.policy.priority == 0) {
        ctx.state.urgent_demand[j.spec.account] -= max_step_accelerators(j.spec);
    }
    j.ended_at_ms = ctx.now.monotonic_ms;
    const job_state state = derive_state(j);
    log_decision(ctx, "job_ended",
                 "request=" + j.spec.id + " state=" + std::string(name_of(state)) + " age_ms=" +
                     std::to_string(ctx.now.monotonic_ms - j.accepted_at_ms) + " placed_age_ms=" +
                     std::to_string(
                         j.effort.placements == 0 ? 0 : j.effort.placed_at_ms - j.accepted_at_ms) +
                     " placements=" + std::to_string(j.effort.placements) +
                     " releases=" + std::to_string(j.effort.releases) +
                     " failed_runs=" + std::to_string(j.effort.failed_runs));
    mark_changed(ctx, j);
    ctx.state.actions_after_next_batch.emplace_back(deferred_visibility{j.spec.id, state});
    for_each_task(j, [&](const task_id& id, const task_ref& ref) {
        if (is_assigned(ref.item->phase)) {
            stop_task(ctx, id, ref, "job_ended");
        }
    });
    ctx.state.plan_needed = true;
}

void create_due_occurrences(reduce_context& ctx, job& j) {
    const std::uint32_t expected = std::max<std::uint32_t>(j.spec.repeat_count, 1);
    while (!j.ended() && j.occurrences.size() < expected) {
        const auto number = static_cast<std::uint32_t>(j.occurrences.size());
        if (j.spec.repeat_count > 0 && due_wall_ms(j.spec, number) > ctx.now.wall_ms) {
            return;
        }
        j.occurrences.push_back(make_occurrence(j.spec, number));
        mark_waiting(ctx.state, j);
        ctx.state.plan_needed = true;
    }
    ctx.state.recurring_jobs.erase(j.spec.id);
}

} // namespace fulmarworks::scheduler
