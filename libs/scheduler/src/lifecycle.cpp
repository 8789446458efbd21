#include "lifecycle.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

/** A start that arrives later than this is refused by its worker. It is also the first lease of a
 * worker that was idle, so it covers a change of the leader until the new one has asked everywhere.
 */
constexpr time_ms start_validity_ms = 3000;
/** Jobs whose runs failed on a worker, without one success between, before it is set aside. */
constexpr std::size_t blame_limit = 2;
/** Time for which a worker that fails its tasks gets no new ones. */
constexpr time_ms quarantine_ms = 6000;

void free_room(reduction& r, const task_id& id, task& t) {
    if (worker* w = find_worker(r.state, t.where.id)) {
        w->assigned.erase(id);
        r.state.capacities.mark(t.where.id);
    }
    t.where = {};
    t.order_attempts = 0;
    t.stop_confirmed_at_ms = 0;
    r.state.plan_needed = true;
}

void make_idle(reduction& r, const task_ref& place) {
    place.item->phase = task_phase::idle;
    r.state.waiting_jobs.insert(place.owner->spec.id);
}

void complete_task(reduction& r, const task_id& id, const task_ref& place) {
    free_room(r, id, *place.item);
    place.item->phase = task_phase::complete;
    place.item->checkpoint.clear();
    ++place.progress->complete_count;
}

/** Remembers a run whose worker hasn't listed its end yet. */
void await_end(reduction& r, const task_id& id, const task_ref& place) {
    worker* w = find_worker(r.state, place.item->where.id);
    if (w != nullptr && is_assigned(place.item->phase)) {
        w->strays.push_back(
            {id, place.item->run, booked_resources(*place.spec), r.now.monotonic_ms, true});
        r.state.capacities.mark(w->report.incarnation.id);
    }
}

void complete(reduction& r, const task_ref& place, const ended_run& end) {
    if (!place.spec->gang) {
        complete_task(r, end.task, place);
        return;
    }
    // One end stands for the whole gang, though the other members' workers may list theirs later.
    for (std::uint32_t i = 0; i < place.progress->tasks.size(); ++i) {
        task_id member = end.task;
        member.index = i;
        const task_ref at{place.owner, place.in, place.progress, place.spec,
                          &place.progress->tasks[i]};
        if (at.item->phase == task_phase::complete) {
            continue;
        }
        if (i != end.task.index) {
            await_end(r, member, at);
        }
        complete_task(r, member, at);
    }
}

void blame_worker(reduction& r, const std::string& worker_id, const std::string& job_id) {
    worker* w = find_worker(r.state, worker_id);
    if (w == nullptr) {
        return;
    }
    w->blamed_by.insert(job_id);
    if (w->blamed_by.size() >= blame_limit) {
        w->blamed_by.clear();
        set_aside(r, *w, quarantine_ms);
        note(r, "worker_quarantined",
             "worker=" + worker_id + " for_ms=" + std::to_string(quarantine_ms));
    }
}

void count_failure(reduction& r, const task_ref& place, const ended_run& end) {
    std::uint32_t& failures =
        place.spec->gang ? place.progress->gang_failures : place.item->failures;
    ++failures;
    place.item->failed_on = place.item->where.id;
    blame_worker(r, place.item->where.id, end.task.job);
    if (failures >= place.owner->spec.policy.max_attempts && !place.spec->long_running) {
        place.owner->failed = true;
    }
}

void keep_checkpoint(const task_ref& place, const std::string& checkpoint) {
    if (checkpoint.empty()) {
        return;
    }
    if (!place.spec->gang) {
        place.item->checkpoint = checkpoint;
        return;
    }
    for (auto& member : place.progress->tasks) {
        member.checkpoint = checkpoint;
    }
}

/** A gang that lost one member can't finish its run; the others are stopped at once. */
void stop_rest_of_gang(reduction& r, const task_id& id, const task_ref& place) {
    if (!place.spec->gang) {
        return;
    }
    for (std::uint32_t i = 0; i < place.progress->tasks.size(); ++i) {
        task& member = place.progress->tasks[i];
        if (i == id.index || !is_assigned(member.phase) || member.phase == task_phase::stopping) {
            continue;
        }
        task_id other = id;
        other.index = i;
        stop_task(r, other, {place.owner, place.in, place.progress, place.spec, &member},
                  "gang_member_lost");
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

void note(reduction& r, std::string name, std::string fields) {
    r.out.emplace_back(decision{std::move(name), std::move(fields)});
}

std::string describe_task(const task_id& id, std::uint32_t run) {
    return "request=" + id.job + " task=" + std::to_string(id.occurrence) + "." +
           std::to_string(id.step) + "." + std::to_string(id.index) + " run=" + std::to_string(run);
}

void touch(reduction& r, const job& j) {
    r.state.dirty.insert(j.spec.id);
}

void track_job(coordinator_state& state, const job& j) {
    state.waiting_jobs.insert(j.spec.id);
    state.recurring_jobs.insert(j.spec.id);
    if (j.spec.policy.priority == 0) {
        state.urgent_demand[j.spec.account] += max_step_accelerators(j.spec);
    }
}

void set_aside(reduction& r, worker& w, time_ms for_ms) {
    w.quarantined_until_ms = std::max(w.quarantined_until_ms, r.now.monotonic_ms + for_ms);
    r.state.capacities.mark(w.report.incarnation.id);
}

void assign_task(reduction& r, const task_id& id, const worker_incarnation& where,
                 std::uint32_t run) {
    const task_ref place = find_task(r.state, id);
    task& t = *place.item;
    t.phase = task_phase::placed;
    t.run = run;
    t.where = where;
    t.percent = 0;
    t.order_attempts = 0;
    t.stop_confirmed_at_ms = 0;
    t.start_expires_at_worker_ms = 0;
    t.start_allowed = false;
    place.owner->started = true;
    r.state.workers.at(where.id).assigned.insert(id);
    r.state.capacities.mark(where.id);
    touch(r, *place.owner);
    r.state.waiting_for_store.emplace_back(deferred_start{id, run});
    note(r, "task_placed", describe_task(id, run) + " worker=" + where.id);
}

void order_start(reduction& r, const task_id& id, task_ref place) {
    task& t = *place.item;
    worker& w = r.state.workers.at(t.where.id);
    t.phase = task_phase::ordered;
    t.ordered_at_ms = r.now.monotonic_ms;
    t.started_at_ms = t.order_attempts == 0 ? r.now.monotonic_ms : t.started_at_ms;
    ++t.order_attempts;
    const time_ms deadline = worker_clock(w, r.now.monotonic_ms) + start_validity_ms;
    t.start_expires_at_worker_ms = std::max(t.start_expires_at_worker_ms, deadline);
    grant_lease(w, deadline);
    r.out.emplace_back(send_start{t.where, w.report.address, id, t.run, place.owner->spec.payload,
                                  t.checkpoint, deadline});
}

void begin_allowed_starts(reduction& r, worker& w) {
    const bool room_in_use = std::any_of(w.strays.begin(), w.strays.end(),
                                         [](const auto& stray) { return stray.ending; });
    if (room_in_use) {
        return;
    }
    for (const auto& id : w.assigned) {
        const task_ref place = find_task(r.state, id);
        if (place && place.item->phase == task_phase::placed && place.item->start_allowed) {
            order_start(r, id, place);
        }
    }
}

void stop_task(reduction& r, const task_id& id, task_ref place, std::string_view reason) {
    task& t = *place.item;
    if (t.phase == task_phase::placed) {
        release_task(r, id, place, reason);
        return;
    }
    if (t.phase == task_phase::unverified) {
        return; // its worker has to be asked first; `settle` stops it then
    }
    if (t.phase != task_phase::stopping) {
        t.phase = task_phase::stopping;
        t.order_attempts = 0;
        r.state.capacities.mark(t.where.id);
        note(r, "task_stopping",
             describe_task(id, t.run) + " worker=" + t.where.id + " reason=" + std::string(reason));
    }
    t.ordered_at_ms = r.now.monotonic_ms;
    ++t.order_attempts;
    if (const worker* w = find_worker(r.state, t.where.id)) {
        r.out.emplace_back(send_stop{t.where, w->report.address, id, t.run});
    }
}

void release_task(reduction& r, const task_id& id, task_ref place, std::string_view reason) {
    note(r, "task_released",
         describe_task(id, place.item->run) + " worker=" + place.item->where.id +
             " reason=" + std::string(reason));
    free_room(r, id, *place.item);
    make_idle(r, place);
    touch(r, *place.owner);
    stop_rest_of_gang(r, id, place);
}

void apply_end(reduction& r, const task_ref& place, const ended_run& end) {
    job& owner = *place.owner;
    note(r, "task_ended",
         describe_task(end.task, end.run) + " worker=" + place.item->where.id +
             " reason=" + std::string(name_of(end.reason)));
    keep_checkpoint(place, end.checkpoint);
    if (end.reason == end_reason::done && !place.spec->long_running) {
        if (worker* w = find_worker(r.state, place.item->where.id)) {
            w->blamed_by.clear();
        }
        complete(r, place, end);
    } else {
        if (end.reason == end_reason::failed) {
            count_failure(r, place, end);
        }
        free_room(r, end.task, *place.item);
        make_idle(r, place);
        stop_rest_of_gang(r, end.task, place);
    }
    touch(r, owner);
    const job_state state = derive_state(owner);
    if (!owner.ended() && is_final(state)) {
        end_job(r, owner);
    }
}

void end_job(reduction& r, job& j) {
    r.state.recurring_jobs.erase(j.spec.id);
    if (j.spec.policy.priority == 0) {
        r.state.urgent_demand[j.spec.account] -= max_step_accelerators(j.spec);
    }
    j.ended_at_ms = r.now.monotonic_ms;
    const job_state state = derive_state(j);
    note(r, "job_ended",
         "request=" + j.spec.id + " state=" + std::string(name_of(state)) +
             " age_ms=" + std::to_string(r.now.monotonic_ms - j.accepted_at_ms));
    touch(r, j);
    r.state.waiting_for_store.emplace_back(deferred_visibility{j.spec.id, state});
    for_each_task(j, [&](const task_id& id, const task_ref& place) {
        if (is_assigned(place.item->phase)) {
            stop_task(r, id, place, "job_ended");
        }
    });
    r.state.plan_needed = true;
}

void open_due_occurrences(reduction& r, job& j) {
    const std::uint32_t expected = std::max<std::uint32_t>(j.spec.repeat_count, 1);
    while (!j.ended() && j.occurrences.size() < expected) {
        const auto number = static_cast<std::uint32_t>(j.occurrences.size());
        if (j.spec.repeat_count > 0 && due_wall_ms(j.spec, number) > r.now.wall_ms) {
            return;
        }
        j.occurrences.push_back(make_occurrence(j.spec, number));
        r.state.waiting_jobs.insert(j.spec.id);
        r.state.plan_needed = true;
    }
    r.state.recurring_jobs.erase(j.spec.id);
}

} // namespace fulmarworks::scheduler
