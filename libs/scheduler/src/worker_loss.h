#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/** How it became known that the runs on a worker are over without a listed end. */
enum class loss_evidence {
    restarted, // the worker answers or reports with a later start
    replaced,  // another worker answers at its address
    silent,    // every lease has expired; the worker may be cut off or have crashed
};

/** A run is no likely cause of a crash that comes later than this after its confirmed start. */
inline constexpr time_ms run_probation_ms = 500;

/**
 * Counts the crash of a worker for its runs, those that were released before because the worker was
 * silent included. A draining worker that was up until it could leave has left instead. Call it
 * while the runs are still assigned and pass the result to `give_up_jobs` once they are released.
 *
 * Returns the tasks that must not be started again.
 */
[[nodiscard]] std::vector<task_id> count_worker_crash(reduce_context& ctx, worker& w,
                                                      loss_evidence evidence);

/**
 * Records what a failed poll tells about the time until which the worker was up. Call it before
 * `failed_polls` is increased.
 */
void note_failed_poll(worker& w, order_failure reason, time_ms now_ms);

/** Ends the jobs of these tasks as failed, except for tasks with a run that has proven itself. */
void give_up_jobs(reduce_context& ctx, const std::vector<task_id>& tasks);

/**
 * Remembers the runs of a worker whose leases have expired, until it is known whether it crashed.
 * Call it while the runs are still assigned.
 */
void remember_lost_runs(reduce_context& ctx, worker& w);

/** Applies that a worker whose runs were remembered did not crash: it answers again, or it left. */
void forget_lost_runs(reduce_context& ctx, worker& w);

/** Counts a worker that has been silent for too long as crashed. */
void expire_lost_runs(reduce_context& ctx, worker& w);

/** The same for the silent workers of an earlier leader, which this one doesn't know. */
void expire_inherited_losses(reduce_context& ctx);

} // namespace fulmarworks::scheduler
