#include "scheduler/coordinator.h"

#include "lifecycle.h"
#include "planner.h"
#include "scheduler/codec.h"
#include "worker_links.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

/** Longest time without a plan while work waits, as waiting changes what may be done. */
constexpr time_ms replan_interval_ms = 250;
/** Interval in which every task and every job is looked at. */
constexpr time_ms inspection_interval_ms = 100;
/** Time that a leaving worker often stays longer than it said, and error of the forecast. */
constexpr time_ms evacuation_margin_ms = 500;
/** A task whose progress doesn't change for this long stands still, whatever its estimate says. */
constexpr time_ms stall_limit_ms = 3000;
/** Time for which a worker on which a task stood still gets no new ones. */
constexpr time_ms stall_quarantine_ms = 6000;

void submit(reduction& r, const job_spec& spec) {
    if (r.state.jobs.contains(spec.id)) {
        return;
    }
    auto added = std::make_unique<job>();
    added->spec = spec;
    added->accepted_at_ms = r.now.monotonic_ms;
    job& j = *added;
    r.state.jobs.emplace(spec.id, std::move(added));
    note(r, "job_known",
         "request=" + spec.id + " account=" + spec.account + " queue=" + spec.queue + " priority=" +
             std::to_string(spec.terms.priority) + " steps=" + std::to_string(spec.steps.size()) +
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
        const task_place place = find_task(r.state, start->task);
        if (place && place.item->phase == task_phase::placed && place.item->run == start->run) {
            order_start(r, start->task, place);
        }
    } else if (const auto* seen = std::get_if<deferred_observation>(&action)) {
        const auto found = r.state.workers.find(seen->where.id);
        if (found != r.state.workers.end() && found->second.report.life == seen->where) {
            found->second.stored_sequence = std::max(found->second.stored_sequence, seen->sequence);
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
    r.state.store_open = false;
    const auto actions = std::exchange(r.state.in_store, {});
    for (const auto& action : actions) {
        carry_out(r, action);
    }
}

/** Hands over what changed, unless a batch is open already. */
void flush(reduction& r) {
    if (r.state.store_open || (r.state.dirty.empty() && r.state.waiting_for_store.empty())) {
        return;
    }
    store_records batch;
    for (const auto& id : r.state.dirty) {
        batch.records.push_back({id, encode_progress(*r.state.jobs.at(id))});
    }
    r.state.dirty.clear();
    r.state.in_store = std::exchange(r.state.waiting_for_store, {});
    r.state.store_open = true;
    r.state.store_opened_at_ms = r.now.monotonic_ms;
    if (batch.records.empty()) {
        stored(r);
        return;
    }
    r.out.emplace_back(std::move(batch));
}

std::uint32_t next_run(coordinator_state& state, const task_id& id) {
    const task_place place = find_task(state, id);
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
    const plan decided = make_plan(r.state, r.now.monotonic_ms);
    std::map<std::pair<std::string, std::pair<std::uint32_t, std::uint32_t>>, std::uint32_t> runs;
    for (const auto& p : decided.placements) {
        const task_place place = find_task(r.state, p.task);
        std::uint32_t run = next_run(r.state, p.task);
        if (place.spec->gang) {
            const auto key = std::pair(p.task.job, std::pair(p.task.occurrence, p.task.step));
            run = runs.try_emplace(key, run).first->second;
        }
        assign_task(r, p.task, p.where, run);
    }
    for (const auto& p : decided.preemptions) {
        const task_place place = find_task(r.state, p.victim);
        if (place && is_assigned(place.item->phase)) {
            stop_task(r, p.victim, place, "preempted_for_" + p.in_favour_of);
        }
    }
}

/** Returns the assigned tasks of a worker that `choose` picks, so that acting on them is safe. */
template <class Choose>
std::vector<task_id> pick_assigned(reduction& r, const worker& w, const Choose& choose) {
    std::vector<task_id> picked;
    for (const auto& id : w.assigned) {
        const task_place place = find_task(r.state, id);
        if (place && place.item->phase == task_phase::running && !place.spec->long_running &&
            choose(*place.item)) {
            picked.push_back(id);
        }
    }
    return picked;
}

/**
 * Stops tasks that stand still, so that they start elsewhere.
 *
 * Load it answers: workers that accept tasks, keep their lease, and do no work.
 */
void stop_stalled_tasks(reduction& r) {
    const time_ms now = r.now.monotonic_ms;
    for (auto& entry : r.state.workers) {
        const std::string& id = entry.first;
        worker& w = entry.second;
        if (w.failed_polls > 0) {
            continue;
        }
        const auto stalled = pick_assigned(r, w, [&](const task& t) {
            return now - t.progressed_at_ms >= stall_limit_ms &&
                   w.answered_at_ms >= t.progressed_at_ms;
        });
        for (const auto& name : stalled) {
            const task_place place = find_task(r.state, name);
            if (place.item->phase != task_phase::running) {
                continue; // stopped with its gang
            }
            note(r, "task_stalled",
                 describe_task(name, place.item->run) + " worker=" + id +
                     " percent=" + std::to_string(place.item->percent) +
                     " still_for_ms=" + std::to_string(now - place.item->progressed_at_ms));
            place.item->failed_on = id;
            w.quarantined_until_ms = now + stall_quarantine_ms;
            stop_task(r, name, place, "stalled");
        }
    }
}

/** Returns the time that a running task still needs at the pace it has had; -1 while unknown. */
time_ms remaining_run_ms(const task& t, time_ms now_ms) {
    constexpr int whole = 100;
    if (t.percent <= 0) {
        return -1;
    }
    const time_ms run_for = t.progressed_at_ms - t.started_at_ms;
    const time_ms left = run_for * (whole - t.percent) / t.percent;
    return std::max<time_ms>(0, left - (now_ms - t.progressed_at_ms));
}

/**
 * Moves tasks off workers that leave before the tasks could end.
 *
 * Load it answers: workers that are emptied and taken away under long tasks; what can't end there
 * is lost in any case, and starts elsewhere the sooner it is stopped.
 */
void evacuate_leaving_workers(reduction& r) {
    for (const auto& entry : r.state.workers) {
        const worker& w = entry.second;
        if (!w.report.draining || !w.listed) {
            continue;
        }
        const time_ms left = w.leaves_at_ms - r.now.monotonic_ms;
        const auto doomed = pick_assigned(r, w, [&](const task& t) {
            return remaining_run_ms(t, r.now.monotonic_ms) > left + evacuation_margin_ms;
        });
        for (const auto& name : doomed) {
            const task_place place = find_task(r.state, name);
            if (place.item->phase == task_phase::running) {
                stop_task(r, name, place, "worker_leaves");
            }
        }
    }
}

void advance(reduction& r) {
    if (r.now.monotonic_ms - r.state.inspected_at_ms >= inspection_interval_ms) {
        r.state.inspected_at_ms = r.now.monotonic_ms;
        for (auto& [id, j] : r.state.jobs) {
            open_due_occurrences(r, *j);
        }
        stop_stalled_tasks(r);
        evacuate_leaving_workers(r);
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
    void operator()(const cancel_requested& e) const { cancel(r, e); }
    void operator()(const tick&) const { advance(r); }
};

/** Books what an earlier leader assigned; the workers have to be asked about it. */
void book_assignments(coordinator_state& state, job& j, time_ms now_ms, time_ms horizon_ms) {
    for_each_task(j, [&](const task_id& id, const task_place& place) {
        if (!is_assigned(place.item->phase)) {
            return;
        }
        worker& w = state.workers[place.item->where.id];
        w.report.life.id = place.item->where.id;
        w.report.life.born_ms = std::max(w.report.life.born_ms, place.item->where.born_ms);
        w.lease_horizon_ms = horizon_ms;
        w.unlisted_since_ms = now_ms;
        w.assigned.insert(id);
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
            state.unreadable.insert(j->spec.id);
        }
        j->visible_state = derive_state(*j);
        if (j->visible_state != job_state::queued && j->visible_state != job_state::running) {
            j->ended_at_ms = now.monotonic_ms;
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
    if (state.plan_needed && !state.store_open) {
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
