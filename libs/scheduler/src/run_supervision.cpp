#include "run_supervision.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

constexpr int whole_percent = 100;
/** Time that a leaving worker often stays longer than it said, and error of the forecast. */
constexpr time_ms evacuation_margin_ms = 500;
/** A task whose progress doesn't change for this long stands still, whatever its estimate says. */
constexpr time_ms stall_limit_ms = 3000;
/** Time for which a worker on which a task stood still gets no new ones. */
constexpr time_ms stall_quarantine_ms = 6000;

bool is_supervised(const task_ref& place) {
    return place && place.item->phase == task_phase::running && !place.spec->long_running;
}

/** Returns the running tasks of a worker that `choose` picks, so that acting on them is safe. */
template <class Choose>
std::vector<task_id> pick_running(reduction& r, const worker& w, const Choose& choose) {
    std::vector<task_id> picked;
    for (const auto& id : w.assigned) {
        const task_ref place = find_task(r.state, id);
        if (is_supervised(place) && choose(place)) {
            picked.push_back(id);
        }
    }
    return picked;
}

/**
 * Stops tasks of a worker that stand still, so that they start elsewhere.
 *
 * Load it answers: workers that accept tasks, keep their lease, and do no work.
 */
void stop_stalled_tasks(reduction& r, worker& w) {
    if (w.failed_polls > 0) {
        return;
    }
    const time_ms now = r.now.monotonic_ms;
    const std::string& id = w.report.incarnation.id;
    const auto stalled = pick_running(r, w, [&](const task_ref& place) {
        return now - place.item->progressed_at_ms >= stall_limit_ms &&
               w.answered_at_ms >= place.item->progressed_at_ms;
    });
    for (const auto& name : stalled) {
        const task_ref place = find_task(r.state, name);
        if (place.item->phase != task_phase::running) {
            continue; // stopped with its gang
        }
        note(r, "task_stalled",
             describe_task(name, place.item->run) + " worker=" + id +
                 " percent=" + std::to_string(place.item->percent) +
                 " still_for_ms=" + std::to_string(now - place.item->progressed_at_ms));
        place.item->failed_on = id;
        set_aside(r, w, stall_quarantine_ms);
        stop_task(r, name, place, "stalled");
    }
}

/** Returns the time that a running task still needs at the pace it has had; -1 while unknown. */
time_ms remaining_run_ms(const task& t, time_ms now_ms) {
    if (t.percent <= 0) {
        return -1;
    }
    const time_ms run_for = t.progressed_at_ms - t.started_at_ms;
    const time_ms left = run_for * (whole_percent - t.percent) / t.percent;
    return std::max<time_ms>(0, left - (now_ms - t.progressed_at_ms));
}

/**
 * Moves tasks off a worker that leaves before the tasks could end.
 *
 * Load it answers: workers that are emptied and taken away under long tasks; what can't end there
 * is lost in any case, and starts elsewhere the sooner it is stopped.
 */
void evacuate_leaving_worker(reduction& r, const worker& w) {
    if (!w.report.draining || !w.listed) {
        return;
    }
    const time_ms left = w.leaves_at_ms - r.now.monotonic_ms;
    const auto doomed = pick_running(r, w, [&](const task_ref& place) {
        return remaining_run_ms(*place.item, r.now.monotonic_ms) > left + evacuation_margin_ms;
    });
    for (const auto& name : doomed) {
        const task_ref place = find_task(r.state, name);
        if (place.item->phase == task_phase::running) {
            stop_task(r, name, place, "worker_leaves");
        }
    }
}

} // namespace

void supervise_runs(reduction& r, worker& w) {
    stop_stalled_tasks(r, w);
    evacuate_leaving_worker(r, w);
}

} // namespace fulmarworks::scheduler
