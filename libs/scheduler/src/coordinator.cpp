#include "scheduler/coordinator.h"

#include "capacity.h"
#include "lifecycle.h"
#include "scheduler/codec.h"
#include "start_planner.h"
#include "worker_sync.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

/** Longest time without a plan while work waits, as waiting changes what may be done. */
constexpr time_ms replan_interval_ms = 250;
/** Interval in which jobs are forgotten, longer than an append takes; and how many in one. */
constexpr time_ms forget_interval_ms = 2000;
constexpr std::size_t max_forgotten_at_once = 200;
/** Interval in which jobs are looked at. */
constexpr time_ms job_check_interval_ms = 100;

void submit(reduction& r, const job_spec& spec) {
    if (r.state.jobs.contains(spec.id)) {
        return;
    }
    auto added = std::make_unique<job>();
    added->spec = spec;
    added->accepted_at_ms = r.now.monotonic_ms;
    job& j = *added;
    r.state.jobs.emplace(spec.id, std::move(added));
    track_job(r.state, j);
    note(r, "job_known",
         "request=" + spec.id + " account=" + spec.account + " queue=" + spec.queue + " priority=" +
             std::to_string(spec.policy.priority) + " steps=" + std::to_string(spec.steps.size()) +
             " age_ms=" + std::to_string(r.now.wall_ms - spec.accepted_wall_ms));
    open_due_occurrences(r, j);
    r.state.plan_needed = true;
}

void cancel(reduction& r, const cancel_requested& request) {
    const auto found = r.state.jobs.find(request.job);
    if (found == r.state.jobs.end()) {
        r.out.emplace_back(answer_cancel{request.request, false});
        return;
    }
    job& j = *found->second;
    if (!j.ended()) {
        j.cancel_requested = true;
        end_job(r, j);
    }
    r.state.waiting_for_store.emplace_back(deferred_cancel_answer{request.request});
}

void carry_out(reduction& r, const deferred_action& action) {
    if (const auto* start = std::get_if<deferred_start>(&action)) {
        const task_ref place = find_task(r.state, start->task);
        if (place && place.item->phase == task_phase::placed && place.item->run == start->run) {
            place.item->start_allowed = true;
            begin_allowed_starts(r, r.state.workers.at(place.item->where.id));
        }
    } else if (const auto* seen = std::get_if<deferred_observation>(&action)) {
        worker* w = find_worker(r.state, seen->where.id);
        if (w != nullptr && w->report.incarnation == seen->where) {
            w->stored_sequence = std::max(w->stored_sequence, seen->sequence);
        }
    } else if (const auto* answer = std::get_if<deferred_cancel_answer>(&action)) {
        r.out.emplace_back(answer_cancel{answer->request, true});
    } else if (const auto* visible = std::get_if<deferred_visibility>(&action)) {
        const auto found = r.state.jobs.find(visible->job);
        if (found != r.state.jobs.end()) {
            found->second->visible_state = visible->state;
        }
    }
}

void stored(reduction& r) {
    r.state.batch_open = false;
    const auto actions = std::exchange(r.state.in_store, {});
    for (const auto& action : actions) {
        carry_out(r, action);
    }
}

/** Hands over what changed, unless a batch is open already. */
void flush(reduction& r) {
    if (r.state.batch_open || (r.state.dirty.empty() && r.state.waiting_for_store.empty() &&
                               r.state.deleted_jobs.empty())) {
        return;
    }
    store_records batch;
    for (auto& id : std::exchange(r.state.deleted_jobs, {})) {
        r.state.dirty.erase(id);
        batch.records.push_back({std::move(id), ""});
    }
    for (const auto& id : r.state.dirty) {
        batch.records.push_back({id, encode_progress(*r.state.jobs.at(id))});
    }
    r.state.dirty.clear();
    r.state.in_store = std::exchange(r.state.waiting_for_store, {});
    r.state.batch_open = true;
    r.state.batch_opened_at_ms = r.now.monotonic_ms;
    if (batch.records.empty()) {
        stored(r);
        return;
    }
    r.out.emplace_back(std::move(batch));
}

std::uint32_t next_run(coordinator_state& state, const task_id& id) {
    const task_ref place = find_task(state, id);
    if (!place.spec->gang) {
        return place.item->run + 1;
    }
    std::uint32_t highest = 0;
    for (const auto& member : place.progress->tasks) {
        highest = std::max(highest, member.run);
    }
    return highest + 1;
}

void carry_out_plan(reduction& r) {
    r.state.plan_needed = false;
    r.state.planned_at_ms = r.now.monotonic_ms;
    refresh_capacities(r.state, r.now.monotonic_ms);
    const plan decided = make_plan(r.state, r.now.monotonic_ms);
    std::map<std::pair<std::string, std::pair<std::uint32_t, std::uint32_t>>, std::uint32_t> runs;
    for (const auto& p : decided.placements) {
        const task_ref place = find_task(r.state, p.task);
        std::uint32_t run = next_run(r.state, p.task);
        if (place.spec->gang) {
            const auto key = std::pair(p.task.job, std::pair(p.task.occurrence, p.task.step));
            run = runs.try_emplace(key, run).first->second;
        }
        assign_task(r, p.task, p.where, run);
    }
    for (const auto& p : decided.preemptions) {
        const task_ref place = find_task(r.state, p.victim);
        if (place && is_assigned(place.item->phase)) {
            stop_task(r, p.victim, place, "preempted_for_" + p.in_favour_of);
        }
    }
}

bool may_be_forgotten(const job& j, const coordinator_state& state, time_ms now_ms) {
    return j.ended() && is_final(j.visible_state) &&
           now_ms - j.ended_at_ms >= state.limits.status_retention_ms &&
           !state.dirty.contains(j.spec.id) && !state.unreadable_jobs.contains(j.spec.id);
}

bool holds_room(job& j) {
    bool assigned = false;
    for_each_task(j, [&](const task_id&, const task_ref& place) {
        assigned = assigned || is_assigned(place.item->phase);
    });
    return assigned;
}

/**
 * Lets go of jobs that ended long ago. The submission goes first: progress that is left alone is
 * harmless, a submission that is left alone would run again.
 */
void forget_ended_jobs(reduction& r) {
    if (r.now.monotonic_ms - r.state.forget_asked_at_ms < forget_interval_ms) {
        return;
    }
    r.state.forget_asked_at_ms = r.now.monotonic_ms;
    delete_submissions ended;
    for (auto& [id, j] : r.state.jobs) {
        if (ended.jobs.size() < max_forgotten_at_once &&
            may_be_forgotten(*j, r.state, r.now.monotonic_ms) && !holds_room(*j)) {
            ended.jobs.push_back(id);
        }
    }
    if (!ended.jobs.empty()) {
        r.out.emplace_back(std::move(ended));
    }
}

void forget(reduction& r, const submissions_deleted& e) {
    for (const auto& id : e.jobs) {
        if (r.state.jobs.erase(id) > 0) {
            r.state.deleted_jobs.push_back(id);
            note(r, "job_forgotten", "request=" + id);
        }
    }
}

void advance(reduction& r) {
    if (r.now.monotonic_ms - r.state.jobs_checked_at_ms >= job_check_interval_ms) {
        r.state.jobs_checked_at_ms = r.now.monotonic_ms;
        for (auto next = r.state.recurring_jobs.begin(); next != r.state.recurring_jobs.end();) {
            // Taken before the call, which may drop the job from the set.
            const std::string& id = *next++;
            open_due_occurrences(r, *r.state.jobs.at(id));
        }
        forget_ended_jobs(r);
    }
    maintain_workers(r);
    if (r.now.monotonic_ms - r.state.planned_at_ms >= replan_interval_ms) {
        r.state.plan_needed = true;
    }
}

struct event_handler {
    reduction& r;

    void operator()(const job_submitted& e) const { submit(r, e.spec); }
    void operator()(const worker_reported& e) const { apply_report(r, e.report); }
    void operator()(const worker_unlisted& e) const { apply_unlisted(r, e.id); }
    void operator()(const guarantees_changed& e) const {
        r.state.accounts = e.accounts;
        r.state.plan_needed = true;
    }
    void operator()(const poll_answered& e) const { apply_poll(r, e); }
    void operator()(const poll_failed& e) const { apply_poll_failure(r, e); }
    void operator()(const start_answered& e) const { apply_start_answer(r, e); }
    void operator()(const stop_answered& e) const { apply_stop_answer(r, e); }
    void operator()(const records_stored&) const { stored(r); }
    void operator()(const submissions_deleted& e) const { forget(r, e); }
    void operator()(const cancel_requested& e) const { cancel(r, e); }
    void operator()(const tick&) const { advance(r); }
};

/** Books what an earlier leader assigned; the workers have to be asked about it. */
void book_assignments(coordinator_state& state, job& j, time_ms now_ms, time_ms horizon_ms) {
    for_each_task(j, [&](const task_id& id, const task_ref& place) {
        if (!is_assigned(place.item->phase)) {
            return;
        }
        worker& w = state.workers[place.item->where.id];
        w.report.incarnation.id = place.item->where.id;
        w.report.incarnation.started_wall_ms =
            std::max(w.report.incarnation.started_wall_ms, place.item->where.started_wall_ms);
        w.lease_expiry_bound_ms = horizon_ms;
        w.unlisted_since_ms = now_ms;
        w.assigned.insert(id);
        state.capacities.mark(w.report.incarnation.id);
    });
}

} // namespace

coordinator_state recover(const settings& limits, std::vector<stored_job> jobs, instant now,
                          predecessor earlier) {
    coordinator_state state;
    state.limits = limits;
    const time_ms renewed_until =
        now.monotonic_ms + (earlier == predecessor::ended ? 0 : limits.predecessor_grace_ms);
    const time_ms horizon = longest_lease_end(limits, renewed_until);
    for (auto& stored_one : jobs) {
        auto j = std::make_unique<job>();
        j->spec = std::move(stored_one.spec);
        const time_ms age = std::clamp<time_ms>(now.wall_ms - j->spec.accepted_wall_ms, 0,
                                                limits.status_retention_ms);
        j->accepted_at_ms = now.monotonic_ms - age;
        if (!stored_one.progress.empty() && !decode_progress(stored_one.progress, *j)) {
            state.unreadable_jobs.insert(j->spec.id);
        }
        j->visible_state = derive_state(*j);
        if (is_final(j->visible_state)) {
            j->ended_at_ms = now.monotonic_ms;
        } else {
            track_job(state, *j);
        }
        book_assignments(state, *j, now.monotonic_ms, horizon);
        state.jobs.emplace(j->spec.id, std::move(j));
    }
    state.plan_needed = true;
    return state;
}

void reduce(coordinator_state& state, instant now, const event& e, effects& out) {
    reduction r{state, now, out};
    std::visit(event_handler{r}, e);
    if (state.plan_needed && !state.batch_open) {
        carry_out_plan(r);
    }
    flush(r);
}

std::size_t pending_jobs(const coordinator_state& state, const std::string& queue) {
    return static_cast<std::size_t>(
        std::count_if(state.jobs.begin(), state.jobs.end(), [&](const auto& entry) {
            const job& j = *entry.second;
            return j.spec.queue == queue && !j.started && !j.ended();
        }));
}

} // namespace fulmarworks::scheduler
