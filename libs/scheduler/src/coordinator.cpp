#include "scheduler/coordinator.h"

#include "capacity.h"
#include "lease.h"
#include "lifecycle.h"
#include "queue_changes.h"
#include "scheduler/codec.h"
#include "speed_learning.h"
#include "start_permission.h"
#include "start_planner.h"
#include "worker_loss.h"
#include "worker_sync.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

/**
 * Maximum time between plans. Waiting time alone can change which placements and preemptions are
 * allowed.
 */
constexpr time_ms replan_interval_ms = 250;
/**
 * Interval between purges of ended jobs, longer than an append takes, and maximum number of jobs in
 * one purge.
 */
constexpr time_ms purge_interval_ms = 2000;
constexpr std::size_t max_jobs_per_purge = 200;
/**
 * Delay from which events count as handled late: several intervals of the leader's ticks, and less
 * than the time for which a call that a peer answers at once stays open.
 */
constexpr time_ms min_late_handling_ms = 200;
/** Interval between checks for due occurrences and ended jobs. */
constexpr time_ms job_check_interval_ms = 100;

void apply_submission(reduce_context& ctx, const job_spec& spec) {
    if (ctx.state.jobs.contains(spec.id)) {
        return;
    }
    auto added = std::make_unique<job>(make_job(spec));
    added->accepted_at_ms = ctx.now.monotonic_ms;
    job& j = *added;
    ctx.state.jobs.emplace(spec.id, std::move(added));
    if (adopt_queue_policy(ctx.state, j)) {
        mark_changed(ctx, j);
    }
    register_active_job(ctx.state, j);
    log_decision(ctx, "job_known",
                 "request=" + spec.id + " account=" + spec.account + " queue=" + spec.queue +
                     " pool=" + j.policy.pool + " priority=" + std::to_string(j.policy.priority) +
                     " steps=" + std::to_string(spec.steps.size()) +
                     " age_ms=" + std::to_string(ctx.now.wall_ms - spec.accepted_wall_ms));
    create_due_occurrences(ctx, j);
    ctx.state.plan_needed = true;
}

void apply_cancel_request(reduce_context& ctx, const cancel_requested& request) {
    const auto found = ctx.state.jobs.find(request.job);
    if (found == ctx.state.jobs.end()) {
        ctx.out.emplace_back(answer_cancel{request.request, false});
        return;
    }
    job& j = *found->second;
    if (!j.ended()) {
        j.cancel_requested = true;
        end_job(ctx, j);
    }
    ctx.state.actions_after_next_batch.emplace_back(deferred_cancel_answer{request.request});
}

void apply_evacuations(reduce_context& ctx, const evacuations_changed& e) {
    ctx.state.evacuated_domains = e.failure_domains;
    std::string names;
    for (const auto& name : e.failure_domains) {
        names += (names.empty() ? "" : ",") + name;
    }
    log_decision(ctx, "evacuations_changed", "failure_domains=" + names);
    for (const auto& [id, w] : ctx.state.workers) {
        ctx.state.capacities.mark_stale(id);
    }
    ctx.state.plan_needed = true;
}

/** Executes an action. Adds the workers on which tasks may start now to `starting`. */
void execute(reduce_context& ctx, const deferred_action& action, std::set<std::string>& starting) {
    if (const auto* start = std::get_if<deferred_start>(&action)) {
        const task_ref ref = find_task(ctx.state, start->task);
        if (ref && ref.item->phase == task_phase::placed && ref.item->run == start->run) {
            ref.item->start_allowed = true;
            starting.insert(ref.item->where.id);
        }
    } else if (const auto* ack = std::get_if<deferred_acknowledgement>(&action)) {
        worker* w = find_worker(ctx.state, ack->where.id);
        if (w != nullptr && w->report.incarnation == ack->where) {
            w->stored_sequence = std::max(w->stored_sequence, ack->sequence);
        }
    } else if (const auto* answer = std::get_if<deferred_cancel_answer>(&action)) {
        ctx.out.emplace_back(answer_cancel{answer->request, true});
    } else if (const auto* visible = std::get_if<deferred_visibility>(&action)) {
        const auto found = ctx.state.jobs.find(visible->job);
        if (found != ctx.state.jobs.end()) {
            found->second->visible_state = visible->state;
        }
    }
}

void apply_records_stored(reduce_context& ctx) {
    ctx.state.batch_open = false;
    const auto actions = std::exchange(ctx.state.actions_after_open_batch, {});
    std::set<std::string> starting;
    for (const auto& action : actions) {
        execute(ctx, action, starting);
    }
    // Once for each worker, as the time is linear in the worker's assignments.
    for (const auto& id : starting) {
        if (worker* w = find_worker(ctx.state, id)) {
            send_allowed_starts(ctx, *w);
        }
    }
}

/** Sends the changes as one batch, unless a batch is open already. */
void flush(reduce_context& ctx) {
    if (ctx.state.batch_open ||
        (ctx.state.changed_jobs.empty() && ctx.state.actions_after_next_batch.empty() &&
         ctx.state.deleted_jobs.empty())) {
        return;
    }
    store_records batch;
    for (auto& id : std::exchange(ctx.state.deleted_jobs, {})) {
        ctx.state.changed_jobs.erase(id);
        batch.records.push_back({std::move(id), ""});
    }
    for (const auto& id : ctx.state.changed_jobs) {
        batch.records.push_back({id, encode_progress(*ctx.state.jobs.at(id))});
    }
    ctx.state.changed_jobs.clear();
    ctx.state.actions_after_open_batch = std::exchange(ctx.state.actions_after_next_batch, {});
    ctx.state.batch_open = true;
    ctx.state.batch_opened_at_ms = ctx.now.monotonic_ms;
    if (batch.records.empty()) {
        apply_records_stored(ctx);
        return;
    }
    ctx.out.emplace_back(std::move(batch));
}

std::uint32_t next_gang_run(const step_progress& progress) {
    std::uint32_t highest = 0;
    for (const auto& member : progress.tasks) {
        highest = std::max(highest, member.run);
    }
    return highest + 1;
}

void execute_plan(reduce_context& ctx, plan_scope scope) {
    ctx.state.plan_needed = false;
    ctx.state.planned_at_ms = ctx.now.monotonic_ms;
    refresh_capacities(ctx.state, ctx.now.monotonic_ms);
    const plan decided = make_plan(ctx.state, scope, ctx.now.monotonic_ms);
    note_plan(ctx.state.pacing, scope, decided.groups, ctx.now.monotonic_ms);
    std::map<std::pair<std::string, std::pair<std::uint32_t, std::uint32_t>>, std::uint32_t> runs;
    for (const auto& p : decided.placements) {
        const task_ref ref = find_task(ctx.state, p.task);
        if (!ref.spec->gang) {
            assign_task(ctx, p.task, p.where, ref.item->run + 1);
            continue;
        }
        const auto key = std::pair(p.task.job, std::pair(p.task.occurrence, p.task.step));
        auto known = runs.find(key);
        if (known == runs.end()) {
            known = runs.emplace(key, next_gang_run(*ref.progress)).first;
        }
        assign_task(ctx, p.task, p.where, known->second);
    }
    for (const auto& p : decided.preemptions) {
        const task_ref ref = find_task(ctx.state, p.victim);
        if (ref && is_assigned(ref.item->phase)) {
            stop_task(ctx, p.victim, ref, "preempted_for_" + p.preempting_job);
        }
    }
}

bool may_be_purged(const job& j, const coordinator_state& state, time_ms now_ms) {
    return j.ended() && is_final(j.visible_state) &&
           now_ms - j.ended_at_ms >= state.limits.status_retention_ms &&
           !state.changed_jobs.contains(j.spec.id) && !state.unreadable_jobs.contains(j.spec.id);
}

bool holds_capacity(job& j) {
    bool assigned = false;
    for_each_task(j, [&](const task_id&, const task_ref& ref) {
        assigned = assigned || is_assigned(ref.item->phase);
    });
    return assigned;
}

/**
 * Requests the deletion of jobs that ended long ago. The submission is deleted first: progress
 * without a submission is harmless, but a submission without progress would run again.
 */
void request_purge(reduce_context& ctx) {
    if (ctx.now.monotonic_ms - ctx.state.purge_requested_at_ms < purge_interval_ms) {
        return;
    }
    ctx.state.purge_requested_at_ms = ctx.now.monotonic_ms;
    delete_submissions ended;
    for (auto& [id, j] : ctx.state.jobs) {
        if (ended.jobs.size() < max_jobs_per_purge &&
            may_be_purged(*j, ctx.state, ctx.now.monotonic_ms) && !holds_capacity(*j)) {
            ended.jobs.push_back(id);
        }
    }
    if (!ended.jobs.empty()) {
        ctx.out.emplace_back(std::move(ended));
    }
}

void apply_purge(reduce_context& ctx, const submissions_deleted& e) {
    for (const auto& id : e.jobs) {
        if (ctx.state.jobs.erase(id) > 0) {
            ctx.state.deleted_jobs.push_back(id);
            log_decision(ctx, "job_forgotten", "request=" + id);
        }
    }
}

void apply_tick(reduce_context& ctx) {
    if (ctx.now.monotonic_ms - ctx.state.jobs_checked_at_ms >= job_check_interval_ms) {
        ctx.state.jobs_checked_at_ms = ctx.now.monotonic_ms;
        for (auto next = ctx.state.recurring_jobs.begin();
             next != ctx.state.recurring_jobs.end();) {
            // Advance first, because the call may remove the job from the set.
            const std::string& id = *next++;
            create_due_occurrences(ctx, *ctx.state.jobs.at(id));
        }
        request_purge(ctx);
        expire_inherited_losses(ctx);
    }
    maintain_workers(ctx);
    update_speed_classes(ctx);
    if (ctx.now.monotonic_ms - ctx.state.planned_at_ms >= replan_interval_ms) {
        ctx.state.plan_needed = true;
    }
}

struct event_handler {
    reduce_context& ctx;

    void operator()(const job_submitted& e) const { apply_submission(ctx, e.spec); }
    void operator()(const workers_reported& e) const { apply_registry(ctx, e); }
    void operator()(const guarantees_changed& e) const {
        ctx.state.account_guarantees = e.account_guarantees;
        ctx.state.plan_needed = true;
    }
    void operator()(const queues_changed& e) const { apply_queues(ctx, e); }
    void operator()(const evacuations_changed& e) const { apply_evacuations(ctx, e); }
    void operator()(const poll_answered& e) const { apply_poll(ctx, e); }
    void operator()(const poll_failed& e) const { apply_poll_failure(ctx, e); }
    void operator()(const start_answered& e) const { apply_start_answer(ctx, e); }
    void operator()(const stop_answered& e) const { apply_stop_answer(ctx, e); }
    void operator()(const records_stored&) const { apply_records_stored(ctx); }
    void operator()(const submissions_deleted& e) const { apply_purge(ctx, e); }
    void operator()(const cancel_requested& e) const { apply_cancel_request(ctx, e); }
    void operator()(const tick&) const { apply_tick(ctx); }
};

/** Records the assignments of the previous leader; their workers must be polled. */
void book_assignments(coordinator_state& state, job& j, time_ms lease_expiry_bound_ms) {
    for_each_task(j, [&](const task_id& id, const task_ref& ref) {
        if (!is_assigned(ref.item->phase)) {
            return;
        }
        worker& w = state.workers[ref.item->where.id];
        w.report.incarnation.id = ref.item->where.id;
        w.report.incarnation.started_wall_ms =
            std::max(w.report.incarnation.started_wall_ms, ref.item->where.started_wall_ms);
        w.lease_expiry_bound_ms = lease_expiry_bound_ms;
        w.earlier_leader_may_renew = true;
        w.assigned.insert(id);
        state.capacities.mark_stale(w.report.incarnation.id);
    });
}

} // namespace

coordinator_state recover(const settings& limits, std::vector<stored_job> jobs, instant now,
                          time_ms earlier_orders_until_ms) {
    coordinator_state state;
    state.limits = limits;
    const time_ms lease_expiry_bound = latest_lease_end(
        std::max(now.monotonic_ms, earlier_orders_until_ms), granted_lease(limits));
    for (auto& entry : jobs) {
        auto j = std::make_unique<job>(make_job(std::move(entry.spec)));
        const time_ms age = std::clamp<time_ms>(now.wall_ms - j->spec.accepted_wall_ms, 0,
                                                limits.status_retention_ms);
        j->accepted_at_ms = now.monotonic_ms - age;
        if (!entry.progress.empty() && !decode_progress(entry.progress, *j)) {
            state.unreadable_jobs.insert(j->spec.id);
        }
        j->visible_state = derive_state(*j);
        if (is_final(j->visible_state)) {
            j->ended_at_ms = now.monotonic_ms;
        } else {
            register_active_job(state, *j);
        }
        book_assignments(state, *j, lease_expiry_bound);
        for_each_task(*j, [&](const task_id& id, const task_ref& ref) {
            if (ref.item->losses.unresolved > 0) {
                state.inherited_losses.push_back(id);
            }
            ref.item->failed_at_ms = ref.item->failed_on.empty() ? 0 : now.monotonic_ms;
        });
        state.jobs.emplace(j->spec.id, std::move(j));
    }
    state.recovered_at_ms = now.monotonic_ms;
    state.plan_needed = true;
    return state;
}

void reduce(coordinator_state& state, instant now, const event& e, effects& out) {
    reduce_context ctx{state, now, out};
    if (now.delay_ms >= min_late_handling_ms) {
        state.handled_late_at_ms = now.monotonic_ms;
    }
    std::visit(event_handler{ctx}, e);
    const plan_scope due = due_plan(state.pacing, state.plan_needed,
                                    !state.waiting_urgent_jobs.empty(), now.monotonic_ms);
    if (due != plan_scope::none && !state.batch_open) {
        if (has_current_view(state, now.monotonic_ms)) {
            execute_plan(ctx, due);
        } else if (!state.waiting_jobs.empty()) {
            hold_starts(ctx);
        }
    }
    flush(ctx);
}

std::size_t pending_jobs(const coordinator_state& state, const std::string& queue) {
    return static_cast<std::size_t>(
        std::count_if(state.jobs.begin(), state.jobs.end(), [&](const auto& entry) {
            const job& j = *entry.second;
            return j.spec.queue == queue && !j.started && !j.ended();
        }));
}

} // namespace fulmarworks::scheduler
