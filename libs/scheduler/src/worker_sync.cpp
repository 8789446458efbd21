#include "worker_sync.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace fulmarworks::scheduler {

namespace {

/** A worker that refuses for want of room or health gets nothing new for this long. */
constexpr time_ms refusal_pause_ms = 500;

/** Returns whether a run that was ordered from the earlier life may have begun in the new one. */
bool may_run_in_new_life(const task& t, const worker& w) {
    switch (t.phase) {
    case task_phase::placed: return false;
    case task_phase::running: return t.confirmed_at_ms >= w.alive_at_ms;
    default: return true;
    }
}

/**
 * A new incarnation knows nothing of before: whatever ran on the old one has ended. An order that
 * was on its way may have been carried out by the new one, as both have one id; such a run is
 * barred there before its task starts elsewhere.
 */
void begin_life(reduction& r, worker& w, time_ms started_wall_ms) {
    note(r, "worker_restarted",
         "worker=" + w.report.incarnation.id + " born_ms=" + std::to_string(started_wall_ms));
    w.report.incarnation.started_wall_ms = started_wall_ms;
    const auto assigned = w.assigned;
    for (const auto& id : assigned) {
        const task_ref place = find_task(r.state, id);
        if (!place || !is_assigned(place.item->phase)) {
            w.assigned.erase(id);
        } else if (may_run_in_new_life(*place.item, w)) {
            task& t = *place.item;
            t.where.started_wall_ms = started_wall_ms;
            t.stop_confirmed_at_ms = 0;
            t.start_expires_at_worker_ms = std::numeric_limits<time_ms>::max();
            t.phase = task_phase::ordered;
            stop_task(r, id, place, "worker_restarted");
        } else {
            release_task(r, id, place, "worker_restarted");
        }
    }
    w.strays.clear();
    w.applied_sequence = 0;
    w.stored_sequence = 0;
    w.lease_ends_at_worker_ms = 0;
    // Deadlines of the old life's clock mean nothing to the new one, which grants at most this.
    const time_ms longest = r.state.limits.max_lease_ms;
    w.lease_expiry_bound_ms =
        w.assigned.empty() ? 0 : longest_grant_end(r.now.monotonic_ms, longest);
    w.clock_reference_ms = 0;
    w.alive_at_ms = 0;
    w.blamed_by.clear();
    w.quarantined_until_ms = 0;
    r.state.capacities.mark(w.report.incarnation.id);
}

void set_clock_reference(worker& w, time_ms clock_ms, time_ms now_ms) {
    w.clock_reference_ms = clock_ms;
    w.clock_reference_at_ms = now_ms;
}

bool is_current(const task_ref& place, const worker& w, std::uint32_t run) {
    return place && is_assigned(place.item->phase) && place.item->run == run &&
           place.item->where == w.report.incarnation;
}

/** A run that ended after its task was given up, and before the next run was placed. */
bool is_late_success(const task_ref& place, const ended_run& end) {
    return place && place.item->phase == task_phase::idle && place.item->run == end.run &&
           end.reason == end_reason::done && !place.owner->ended() && !place.spec->gang;
}

void apply_ends(reduction& r, worker& w, const std::vector<ended_run>& ends) {
    for (const auto& end : ends) {
        if (end.sequence <= w.applied_sequence) {
            continue;
        }
        w.applied_sequence = end.sequence;
        std::erase_if(w.strays,
                      [&](const auto& s) { return s.task == end.task && s.run == end.run; });
        const task_ref place = find_task(r.state, end.task);
        if (is_current(place, w, end.run) || is_late_success(place, end)) {
            apply_end(r, place, end);
        }
        r.state.plan_needed = true;
        r.state.capacities.mark(w.report.incarnation.id);
    }
    if (w.applied_sequence > w.stored_sequence) {
        r.state.waiting_for_store.emplace_back(
            deferred_observation{w.report.incarnation, w.applied_sequence});
    }
}

void confirm_run(task& t, time_ms now_ms) {
    t.phase = task_phase::running;
    t.order_attempts = 0;
    t.confirmed_at_ms = now_ms;
    t.progressed_at_ms = now_ms;
}

void update_progress(task& t, const active_run& run, time_ms now_ms) {
    if (t.percent != run.percent) {
        t.percent = run.percent;
        t.progressed_at_ms = now_ms;
    }
}

void keep_running(reduction& r, const active_run& run, const task_ref& place) {
    task& t = *place.item;
    if (t.phase == task_phase::ordered || t.phase == task_phase::unverified) {
        confirm_run(t, r.now.monotonic_ms);
        t.started_at_ms = t.started_at_ms == 0 ? r.now.monotonic_ms : t.started_at_ms;
    }
    update_progress(t, run, r.now.monotonic_ms);
    if (!run.checkpoint.empty()) {
        t.checkpoint = run.checkpoint;
    }
    if (place.owner->ended()) {
        stop_task(r, run.task, place, "job_ended");
    }
}

void keep_stray(reduction& r, worker& w, const active_run& run) {
    const auto same = [&](const auto& s) { return s.task == run.task && s.run == run.run; };
    auto found = std::find_if(w.strays.begin(), w.strays.end(), same);
    if (found == w.strays.end()) {
        const task_ref place = find_task(r.state, run.task);
        const resources need = place ? booked_resources(*place.spec) : w.report.capacity;
        w.strays.push_back({run.task, run.run, need, 0});
        found = std::prev(w.strays.end());
        r.state.capacities.mark(w.report.incarnation.id);
        note(r, "stray_run",
             describe_task(run.task, run.run) + " worker=" + w.report.incarnation.id);
    }
    if (r.now.monotonic_ms - found->stop_sent_at_ms >= repeat_order_ms) {
        found->stop_sent_at_ms = r.now.monotonic_ms;
        r.out.emplace_back(send_stop{w.report.incarnation, w.report.address, run.task, run.run});
    }
}

/** Releases an assignment that the worker doesn't list, once nothing can start it any more. */
void settle_unlisted(reduction& r, const task_id& id, const task_ref& place,
                     const poll_answered& answer) {
    task& t = *place.item;
    const bool after_order = answer.sent_at_ms > t.ordered_at_ms;
    switch (t.phase) {
    case task_phase::unverified: release_task(r, id, place, "unknown_to_worker"); return;
    case task_phase::running:
        if (answer.sent_at_ms > t.confirmed_at_ms) {
            release_task(r, id, place, "vanished");
        }
        return;
    case task_phase::ordered:
        if (after_order && answer.status.clock_ms > t.start_expires_at_worker_ms) {
            release_task(r, id, place, "start_expired");
        }
        return;
    case task_phase::stopping:
        if (t.stop_confirmed_at_ms != 0 && answer.sent_at_ms > t.stop_confirmed_at_ms) {
            release_task(r, id, place, "never_started");
        } else if (after_order && answer.status.clock_ms > t.start_expires_at_worker_ms) {
            release_task(r, id, place, "start_expired");
        }
        return;
    default: return;
    }
}

void compare_lists(reduction& r, worker& w, const poll_answered& answer) {
    std::set<task_id> listed;
    const auto over = std::erase_if(w.strays, [&](const auto& s) {
        return std::none_of(
            answer.status.active.begin(), answer.status.active.end(),
            [&](const auto& run) { return run.task == s.task && run.run == s.run; });
    });
    if (over > 0) {
        r.state.capacities.mark(w.report.incarnation.id);
    }
    for (const auto& run : answer.status.active) {
        const task_ref place = find_task(r.state, run.task);
        if (is_current(place, w, run.run)) {
            listed.insert(run.task);
            keep_running(r, run, place);
        } else {
            keep_stray(r, w, run);
        }
    }
    std::vector<task_id> unlisted;
    std::set_difference(w.assigned.begin(), w.assigned.end(), listed.begin(), listed.end(),
                        std::back_inserter(unlisted));
    for (const auto& id : unlisted) {
        const task_ref place = find_task(r.state, id);
        if (place && is_assigned(place.item->phase)) {
            settle_unlisted(r, id, place, answer);
        }
    }
}

/** Returns whether two reports offer the same room in the same place. */
bool same_room(const worker_report& a, const worker_report& b) {
    return a.capacity == b.capacity && a.pool == b.pool && a.rack == b.rack;
}

} // namespace

void release_all(reduction& r, worker& w, std::string_view reason) {
    const auto assigned = w.assigned;
    for (const auto& id : assigned) {
        if (const task_ref place = find_task(r.state, id)) {
            release_task(r, id, place, reason);
        } else {
            w.assigned.erase(id);
        }
    }
    w.strays.clear();
    r.state.capacities.mark(w.report.incarnation.id);
}

void apply_report(reduction& r, const worker_report& report) {
    worker& w = r.state.workers[report.incarnation.id];
    const bool was_draining = w.report.draining && w.listed;
    // Reports are repeated all the time; most of them say nothing new about the room.
    if (!w.listed || was_draining != report.draining || !same_room(w.report, report)) {
        r.state.capacities.mark(report.incarnation.id);
    }
    const time_ms known_life = w.report.incarnation.started_wall_ms;
    w.report = report;
    w.leaves_at_ms = r.now.monotonic_ms + report.remaining_ms;
    w.report.incarnation.started_wall_ms = std::max(known_life, report.incarnation.started_wall_ms);
    if (known_life != 0 && report.incarnation.started_wall_ms > known_life) {
        w.report.incarnation.started_wall_ms = known_life;
        begin_life(r, w, report.incarnation.started_wall_ms);
        w.verified = false;
    }
    if (w.clock_reference_ms == 0) {
        // The clock has gone on since, so leases end a little early; good enough until it answers.
        set_clock_reference(w, report.clock_ms, r.now.monotonic_ms);
    }
    if (!w.listed || was_draining != report.draining) {
        note(r, "worker_listed",
             "worker=" + report.incarnation.id +
                 " draining=" + std::to_string(report.draining ? 1 : 0));
        r.state.plan_needed = true;
    }
    w.listed = true;
}

void apply_unlisted(reduction& r, const std::string& id) {
    worker* w = find_worker(r.state, id);
    if (w != nullptr && w->listed) {
        w->listed = false;
        w->unlisted_since_ms = r.now.monotonic_ms;
        r.state.capacities.mark(id);
        note(r, "worker_unlisted", "worker=" + id);
    }
}

void apply_poll(reduction& r, const poll_answered& answer) {
    worker* found = find_worker(r.state, answer.worker);
    if (found == nullptr) {
        return;
    }
    worker& w = *found;
    w.poll_outstanding = false;
    const time_ms known_life = w.report.incarnation.started_wall_ms;
    if (answer.status.started_wall_ms < known_life) {
        return; // an answer of an earlier life that arrived late
    }
    if (answer.status.started_wall_ms > known_life && known_life != 0) {
        begin_life(r, w, answer.status.started_wall_ms);
    }
    w.report.incarnation.started_wall_ms = answer.status.started_wall_ms;
    if (!w.verified || w.failed_polls > 0) {
        r.state.plan_needed = true;
        r.state.capacities.mark(answer.worker);
        note(r, "worker_reachable", "worker=" + answer.worker);
    }
    w.verified = true;
    w.failed_polls = 0;
    w.answered_at_ms = r.now.monotonic_ms;
    w.alive_at_ms = std::max(w.alive_at_ms, answer.sent_at_ms);
    set_clock_reference(w, answer.status.clock_ms, r.now.monotonic_ms);
    apply_ends(r, w, answer.status.ended);
    compare_lists(r, w, answer);
    begin_allowed_starts(r, w);
}

void apply_poll_failure(reduction& r, const poll_failed& failure) {
    worker* found = find_worker(r.state, failure.worker);
    if (found == nullptr) {
        return;
    }
    worker& w = *found;
    r.state.capacities.mark(failure.worker);
    w.poll_outstanding = false;
    if (failure.reason == order_failure::fenced) {
        r.out.emplace_back(leadership_lost{});
        return;
    }
    if (w.failed_polls++ == 0) {
        note(r, "worker_unreachable", "worker=" + failure.worker);
    }
    if (failure.reason == order_failure::other_incarnation) {
        // The address serves another incarnation, so this one is gone.
        w.verified = false;
        release_all(r, w, "worker_replaced");
    }
}

void apply_start_answer(reduction& r, const start_answered& answer) {
    const task_ref place = find_task(r.state, answer.task);
    worker* w = find_worker(r.state, answer.worker);
    if (w == nullptr || !is_current(place, *w, answer.run) ||
        place.item->phase != task_phase::ordered) {
        return;
    }
    task& t = *place.item;
    if (answer.accepted) {
        confirm_run(t, r.now.monotonic_ms);
        return;
    }
    const bool sole_order = t.order_attempts <= 1;
    switch (answer.failure) {
    case order_failure::fenced: r.out.emplace_back(leadership_lost{}); return;
    case order_failure::expired: release_task(r, answer.task, place, "start_expired"); return;
    case order_failure::no_capacity:
    case order_failure::rejected:
        set_aside(r, *w, refusal_pause_ms);
        if (sole_order) {
            release_task(r, answer.task, place, "refused_by_worker");
        } else {
            stop_task(r, answer.task, place, "refused_by_worker");
        }
        return;
    case order_failure::superseded: stop_task(r, answer.task, place, "superseded"); return;
    case order_failure::no_answer:
    case order_failure::other_incarnation: return; // the next poll tells
    }
}

void apply_stop_answer(reduction& r, const stop_answered& answer) {
    if (!answer.accepted) {
        if (answer.failure == order_failure::fenced) {
            r.out.emplace_back(leadership_lost{});
        }
        return;
    }
    const task_ref place = find_task(r.state, answer.task);
    const worker* w = find_worker(r.state, answer.worker);
    if (w != nullptr && is_current(place, *w, answer.run) &&
        place.item->phase == task_phase::stopping && place.item->stop_confirmed_at_ms == 0) {
        place.item->stop_confirmed_at_ms = r.now.monotonic_ms;
    }
}

} // namespace fulmarworks::scheduler
