#pragma once

#include "lookup.h"

#include <optional>
#include <span>

namespace fulmarworks::scheduler {

/**
 * Expected run times of tasks, learned from the runs that ended.
 *
 * Handles callers whose estimates are off by a large factor, and tasks of which a few run many
 * times longer than usual. While `settings::learned_run_times` is off or the class of a task has no
 * evidence, the caller's estimate is used.
 */

/** Returns the class of a step's tasks in the run time statistics. Thread safe. */
[[nodiscard]] run_times::run_class run_class_of(const job_spec& spec, const step_spec& step);

/** Returns the learned run time; `samples` is 0 if learning is off or there is no evidence. */
[[nodiscard]] run_times::prediction learned_run_time(const coordinator_state& state,
                                                     const job_spec& spec, const step_spec& step,
                                                     time_ms now_ms);

/** Bounds how many jobs' expectations one plan recomputes. */
struct expectation_refresh {
    time_ms now_ms = 0;
    std::size_t remaining_jobs = 0;
};

/** Returns the bound for one plan. Thread safe. */
[[nodiscard]] expectation_refresh begin_expectation_refresh(time_ms now_ms);

/**
 * Keeps in the job the expected run time of a task of each step, in milliseconds on a worker of
 * speed 1, and what follows from it. Recomputes them every few seconds, as far as `refresh` allows.
 */
void refresh_expectations(const coordinator_state& state, job& j, expectation_refresh& refresh);

/**
 * Returns the expected remaining run time of a run, in milliseconds: below 100 percent extrapolated
 * from its progress, at 100 percent from its class, or 0 without evidence. Returns nothing before
 * the run has progressed.
 */
[[nodiscard]] std::optional<time_ms> expected_remaining_ms(coordinator_state& state,
                                                           const task_ref& ref, time_ms now_ms);

/**
 * Returns the time for which a run may stay at 100 percent before it counts as stalled, at least 1
 * ms; 0 if too few runs of its class have ended to tell.
 */
[[nodiscard]] time_ms usual_overrun_ms(coordinator_state& state, const task_ref& ref,
                                       time_ms now_ms);

/**
 * Adds the run time of a run that ended as done to the statistics. Leaves out runs whose start this
 * leader did not send, that resumed from a checkpoint, or that were slowed by distance to their
 * data or to the other members of their gang. Precondition: the task is still assigned to its
 * worker unless its run was released before.
 */
void record_run_time(coordinator_state& state, const task_ref& ref, time_ms now_ms);

/**
 * Excludes ended runs from the statistics. Used for the first answer after failed polls: the runs
 * may have ended at any time since the answer before.
 */
void exclude_from_statistics(coordinator_state& state, std::span<const ended_run> ends);

} // namespace fulmarworks::scheduler
