#include "expected_run.h"

#include "worker_speed.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

constexpr int complete_percent = 100;
/** Interval after which a waiting job's expectations are recomputed. */
constexpr time_ms refresh_interval_ms = 5000;
/**
 * Maximum number of jobs whose expectations one plan recomputes, so that a plan stays within a
 * millisecond. Jobs without expectations don't count.
 */
constexpr std::size_t max_refreshed_jobs = 16;
/** Evidence from which the learned limit of a run at 100 percent is used: with a tail of 3%, a
 * smaller sample is likely to miss it. */
constexpr double long_run_evidence = 100;
/** Factor on the long-run quantile of a class above which a run at 100 percent is stalled. */
constexpr double long_run_margin = 1.5;

const std::string& rack_of(coordinator_state& state, const task& t) {
    static const std::string unknown;
    const worker* w = find_worker(state, t.where.id);
    return w == nullptr ? unknown : w->report.rack;
}

/**
 * Returns whether the run is slower by `settings::remote_factor`: its data is in another rack, or
 * its gang spans several racks although it needs one.
 */
bool is_slowed_by_distance(coordinator_state& state, const task_ref& ref) {
    const bool is_gang = ref.spec->gang && ref.spec->task_count > 1;
    const std::string& data_rack = ref.spec->data_rack;
    if (data_rack.empty() && !(is_gang && ref.spec->same_rack)) {
        return false;
    }
    const std::string& fast_rack = data_rack.empty() ? rack_of(state, *ref.item) : data_rack;
    if (!is_gang) {
        return rack_of(state, *ref.item) != fast_rack;
    }
    return std::any_of(ref.progress->tasks.begin(), ref.progress->tasks.end(), [&](const task& t) {
        return is_assigned(t.phase) && rack_of(state, t) != fast_rack;
    });
}

/** Returns the factor by which the run is slower than its class. */
double slowdown_of(coordinator_state& state, const task_ref& ref) {
    return is_slowed_by_distance(state, ref) ? std::max(1.0, state.limits.remote_factor) : 1.0;
}

time_ms scale(time_ms duration_ms, double factor) {
    return static_cast<time_ms>(static_cast<double>(duration_ms) * factor);
}

/** Returns the mean remaining time of runs of the class that last longer than this one so far. */
time_ms remaining_past_usual_ms(coordinator_state& state, const task_ref& ref, time_ms now_ms) {
    const job_spec& spec = ref.owner->spec;
    if (!ref.item->observed_from_start ||
        learned_run_time(state, spec, *ref.spec, now_ms).samples <= 0) {
        return 0;
    }
    const double slowdown = slowdown_of(state, ref);
    const time_ms elapsed = scale(now_ms - ref.item->started_at_ms, 1 / slowdown);
    return scale(state.run_times.expected_remaining_ms(run_class_of(spec, *ref.spec),
                                                       ref.spec->estimate_ms, elapsed, now_ms),
                 slowdown);
}

} // namespace

run_times::run_class run_class_of(const job_spec& spec, const step_spec& step) {
    return {spec.queue, spec.account, static_cast<std::uint32_t>(step.per_task.accelerators)};
}

run_times::prediction learned_run_time(const coordinator_state& state, const job_spec& spec,
                                       const step_spec& step, time_ms now_ms) {
    if (!state.limits.learned_run_times || step.long_running) {
        return {step.estimate_ms, step.estimate_ms, 0};
    }
    return state.run_times.predict(run_class_of(spec, step), step.estimate_ms, now_ms);
}

expectation_refresh begin_expectation_refresh(time_ms now_ms) {
    return {now_ms, max_refreshed_jobs};
}

void refresh_expectations(const coordinator_state& state, job& j, expectation_refresh& refresh) {
    const bool known = !j.expected_step_run_ms.empty();
    if (known) {
        const bool due = state.limits.learned_run_times &&
                         refresh.now_ms - j.expected_at_ms >= refresh_interval_ms;
        if (!due || refresh.remaining_jobs == 0) {
            return;
        }
        --refresh.remaining_jobs;
    }
    j.expected_at_ms = refresh.now_ms;
    j.expected_step_run_ms.clear();
    for (const auto& step : j.spec.steps) {
        const auto learned = learned_run_time(state, j.spec, step, refresh.now_ms);
        j.expected_step_run_ms.push_back(learned.samples > 0 ? learned.expected_ms
                                                             : step.estimate_ms);
    }
    j.expected_remaining_path_ms = remaining_paths_ms(j.spec, j.expected_step_run_ms);
}

std::optional<time_ms> expected_remaining_ms(coordinator_state& state, const task_ref& ref,
                                             time_ms now_ms) {
    const task& t = *ref.item;
    if (t.percent <= 0) {
        return std::nullopt;
    }
    if (t.percent >= complete_percent) {
        return remaining_past_usual_ms(state, ref, now_ms);
    }
    const time_ms run_for = t.progressed_at_ms - t.started_at_ms;
    const time_ms left = run_for * (complete_percent - t.percent) / t.percent;
    return std::max<time_ms>(0, left - (now_ms - t.progressed_at_ms));
}

time_ms usual_overrun_ms(coordinator_state& state, const task_ref& ref, time_ms now_ms) {
    const auto learned = learned_run_time(state, ref.owner->spec, *ref.spec, now_ms);
    if (learned.samples < long_run_evidence) {
        return 0;
    }
    const time_ms limit = scale(learned.long_run_ms, long_run_margin * slowdown_of(state, ref));
    // The time below 100 percent is unknown if an earlier leader started the run.
    const time_ms usual =
        ref.item->observed_from_start ? ref.item->progressed_at_ms - ref.item->started_at_ms : 0;
    return std::max<time_ms>(1, limit - usual);
}

void record_run_time(coordinator_state& state, const task_ref& ref, time_ms now_ms) {
    const task& t = *ref.item;
    if (!state.limits.learned_run_times || !is_assigned(t.phase) || !t.observed_from_start ||
        ref.spec->long_running || is_slowed_by_distance(state, ref)) {
        return;
    }
    const double worker_speed = relative_speed(state.speeds, t.where.id);
    state.run_times.add({run_class_of(ref.owner->spec, *ref.spec), ref.spec->estimate_ms,
                         now_ms - t.started_at_ms, worker_speed},
                        now_ms);
}

void exclude_from_statistics(coordinator_state& state, std::span<const ended_run> ends) {
    for (const auto& end : ends) {
        if (const task_ref ref = find_task(state, end.task)) {
            ref.item->observed_from_start = false;
        }
    }
}

} // namespace fulmarworks::scheduler
