#include "worker_loss.h"

#include "crash_attribution.h"

#include <algorithm>
#include <utility>

namespace fulmarworks::scheduler {

namespace {

/** Time within which a worker that was cut off usually answers again. */
constexpr time_ms silent_worker_limit_ms = 20'000;
/** A worker that answered this long before a start is taken to have been up then. */
constexpr time_ms recent_answer_ms = 1000;
/** A worker that is down refuses connections within this time. */
constexpr time_ms connection_refusal_ms = 100;
/** A long-running task that has lasted this long is no longer suspect. */
constexpr time_ms stable_run_ms = 30'000;

std::string_view name_of(loss_evidence evidence) {
    switch (evidence) {
    case loss_evidence::restarted: return "restarted";
    case loss_evidence::replaced: return "replaced";
    case loss_evidence::silent: return "silent";
    }
    return "invalid";
}

/** Returns for how long the worker was seen to work on the run; 0 if that is unknown. */
time_ms observed_run_ms(const worker& w, const task& t) {
    return t.confirmed_at_ms == 0 ? 0 : std::max<time_ms>(0, w.answered_at_ms - t.confirmed_at_ms);
}

/** Returns whether a draining worker may have left as announced, rather than crashed. */
bool may_have_left(const worker& w, time_ms now_ms) {
    const time_ms lost_at_ms = w.failed_polls > 0 ? w.unreachable_at_ms : now_ms;
    return w.report.draining && lost_at_ms >= w.leaves_at_ms;
}

/** Returns the runs of the worker that may have started, and logs each of them. */
std::vector<lost_run> collect_lost_runs(reduce_context& ctx, const worker& w,
                                        loss_evidence evidence) {
    std::vector<lost_run> runs;
    const std::string source =
        "worker=" + w.report.incarnation.id + " evidence=" + std::string(name_of(evidence));
    for (const auto& id : w.assigned) {
        const task_ref ref = find_task(ctx.state, id);
        if (!ref || !is_assigned(ref.item->phase) || ref.item->phase == task_phase::placed) {
            continue;
        }
        task& t = *ref.item;
        const time_ms observed_ms = observed_run_ms(w, t);
        // The previous leader's observations are not stored; a run that was lost before has not
        // started in the next incarnation as far as is known; and a worker that had not answered
        // for some time may have been down before the start was sent.
        const bool unknown =
            t.phase == task_phase::unverified || std::exchange(t.lost, true) ||
            (t.confirmed_at_ms == 0 && t.started_at_ms - w.answered_at_ms > recent_answer_ms);
        if (ref.spec->long_running && observed_ms >= stable_run_ms) {
            t.losses = {};
        }
        const bool was_up =
            answered_just_before(w, t.started_at_ms) || w.disconnected_at_ms >= t.started_at_ms;
        const bool witnessed = !unknown && (t.confirmed_at_ms != 0 || (!t.start_delayed && was_up));
        runs.push_back({id, t.run, t.proven || unknown, witnessed});
        log_decision(ctx, "run_lost",
                     describe_task(id, t.run) + " " + source +
                         " observed_ms=" + std::to_string(observed_ms) + " answered_ms_ago=" +
                         std::to_string(ctx.now.monotonic_ms - w.answered_at_ms) + " poll_ms_ago=" +
                         std::to_string(ctx.now.monotonic_ms - w.poll_sent_at_ms) +
                         " crashes=" + std::to_string(t.losses.crashes) +
                         " start_crashes=" + std::to_string(t.losses.start_crashes) +
                         " witnessed=" + std::to_string(witnessed ? 1 : 0));
    }
    if (!runs.empty()) {
        log_decision(ctx, "worker_runs_lost",
                     source + " address=" + w.report.address +
                         " draining=" + std::to_string(w.report.draining ? 1 : 0) +
                         " runs=" + std::to_string(runs.size()));
    }
    return runs;
}

/** Marks what depends on the losses of a task as changed. */
void mark_losses_changed(reduce_context& ctx, const task_ref& ref) {
    mark_changed(ctx, *ref.owner);
    if (is_assigned(ref.item->phase)) {
        ctx.state.capacities.mark_stale(ref.item->where.id);
    }
}

/** Calls `visit(task_ref)` for each remembered run of an active job, and forgets the runs. */
template <class Visit>
void resolve_lost_runs(reduce_context& ctx, worker& w, const Visit& visit) {
    for (const auto& run : std::exchange(w.lost_runs, {})) {
        const task_ref ref = find_task(ctx.state, run.task);
        if (!ref || ref.owner->ended()) {
            continue;
        }
        loss_count& losses = ref.item->losses;
        losses.unresolved -= std::min(losses.unresolved, 1U);
        visit(ref);
        mark_losses_changed(ctx, ref);
    }
    ctx.state.plan_needed = true;
}

bool is_hopeless(const loss_count& losses, bool conclusive) {
    return losses.crashes >= max_lost_workers ||
           (conclusive && losses.witnessed_crashes >= max_witnessed_crashes);
}

/** Gives up the jobs of those tasks that have lost too many workers, whatever the cause. */
void give_up_hopeless(reduce_context& ctx, std::vector<task_id> tasks) {
    std::erase_if(tasks, [&](const task_id& id) {
        const task_ref ref = find_task(ctx.state, id);
        return !ref || !is_hopeless(ref.item->losses, false);
    });
    give_up_jobs(ctx, tasks);
}

} // namespace

std::vector<task_id> count_worker_crash(reduce_context& ctx, worker& w, loss_evidence evidence) {
    auto runs = collect_lost_runs(ctx, w, evidence);
    if (may_have_left(w, ctx.now.monotonic_ms)) {
        forget_lost_runs(ctx, w);
        return {};
    }
    runs.insert(runs.end(), w.lost_runs.begin(), w.lost_runs.end());
    resolve_lost_runs(ctx, w, [](const task_ref&) {});

    std::vector<crashed_run> crashed;
    for (const auto& run : runs) {
        const task_ref ref = find_task(ctx.state, run.task);
        crashed.push_back(
            {run.task.job, run.proven || !ref, ref ? ref.item->losses : loss_count{}});
    }
    const crash_attribution attribution = attribute_crash(crashed);
    std::vector<task_id> hopeless;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const task_ref ref = find_task(ctx.state, runs[i].task);
        if (!ref || ref.owner->ended()) {
            continue;
        }
        const bool cause =
            std::binary_search(attribution.causes.begin(), attribution.causes.end(), i);
        loss_count& losses = ref.item->losses;
        ++losses.crashes;
        losses.start_crashes += cause ? 1 : 0;
        losses.witnessed_crashes += cause && runs[i].witnessed ? 1 : 0;
        ref.item->lost_at_ms = ctx.now.monotonic_ms;
        mark_losses_changed(ctx, ref);
        if (is_hopeless(losses, cause && attribution.conclusive)) {
            hopeless.push_back(runs[i].task);
        }
    }
    return hopeless;
}

void note_failed_poll(worker& w, order_failure reason, time_ms now_ms) {
    const time_ms open_for_ms = now_ms - w.poll_sent_at_ms;
    if (reason == order_failure::no_answer && open_for_ms > connection_refusal_ms &&
        open_for_ms < w.poll_wait_ms) {
        w.disconnected_at_ms = now_ms;
    }
    if (w.failed_polls == 0) {
        w.unreachable_at_ms = now_ms;
    }
}

void give_up_jobs(reduce_context& ctx, const std::vector<task_id>& tasks) {
    for (const auto& id : tasks) {
        const task_ref ref = find_task(ctx.state, id);
        const bool runs_well = ref && is_assigned(ref.item->phase) && ref.item->proven;
        if (!ref || ref.owner->ended() || runs_well || ref.item->completed_earlier) {
            continue;
        }
        const loss_count& losses = ref.item->losses;
        log_decision(ctx, "job_given_up",
                     describe_task(id, ref.item->run) +
                         " reason=crashes_workers crashes=" + std::to_string(losses.crashes) +
                         " start_crashes=" + std::to_string(losses.start_crashes) +
                         " witnessed_crashes=" + std::to_string(losses.witnessed_crashes));
        ref.owner->failed = true;
        end_job(ctx, *ref.owner);
    }
}

void remember_lost_runs(reduce_context& ctx, worker& w) {
    auto runs = collect_lost_runs(ctx, w, loss_evidence::silent);
    if (may_have_left(w, ctx.now.monotonic_ms)) {
        return;
    }
    for (const auto& run : runs) {
        const task_ref ref = find_task(ctx.state, run.task);
        ++ref.item->losses.unresolved;
        ref.item->lost_at_ms = ctx.now.monotonic_ms;
        mark_losses_changed(ctx, ref);
    }
    w.lost_runs.insert(w.lost_runs.end(), runs.begin(), runs.end());
    w.runs_lost_at_ms = ctx.now.monotonic_ms;
}

void forget_lost_runs(reduce_context& ctx, worker& w) {
    resolve_lost_runs(ctx, w, [](const task_ref&) {});
}

void expire_lost_runs(reduce_context& ctx, worker& w) {
    if (w.lost_runs.empty() || ctx.now.monotonic_ms - w.runs_lost_at_ms < silent_worker_limit_ms) {
        return;
    }
    std::vector<task_id> tasks;
    for (const auto& run : w.lost_runs) {
        tasks.push_back(run.task);
    }
    resolve_lost_runs(ctx, w, [](const task_ref& ref) { ++ref.item->losses.crashes; });
    give_up_hopeless(ctx, std::move(tasks));
}

void expire_inherited_losses(reduce_context& ctx) {
    if (ctx.state.inherited_losses.empty() ||
        ctx.now.monotonic_ms - ctx.state.recovered_at_ms < silent_worker_limit_ms) {
        return;
    }
    auto tasks = std::exchange(ctx.state.inherited_losses, {});
    for (const auto& id : tasks) {
        const task_ref ref = find_task(ctx.state, id);
        if (ref && !ref.owner->ended()) {
            ref.item->losses.crashes += std::exchange(ref.item->losses.unresolved, 0);
            mark_losses_changed(ctx, ref);
        }
    }
    give_up_hopeless(ctx, std::move(tasks));
    ctx.state.plan_needed = true;
}

} // namespace fulmarworks::scheduler
