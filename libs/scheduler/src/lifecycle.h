#pragma once

#include "lookup.h"

namespace fulmarworks::scheduler {

/** Context of one call of `reduce`. */
struct reduce_context {
    coordinator_state& state;
    instant now;
    effects& out;
};

/** Emits a decision for the log. `fields` is key=value text. */
void log_decision(reduce_context& ctx, std::string name, std::string fields);

/** Returns "request=JOB task=OCCURRENCE.STEP.INDEX run=N" for log lines. */
[[nodiscard]] std::string describe_task(const task_id& id, std::uint32_t run);

/** Marks the progress of a job as changed, so that the next batch stores it. */
void mark_changed(reduce_context& ctx, const job& j);

/** Marks a job as one that may have idle tasks. */
void mark_waiting(coordinator_state& state, const job& j);

/**
 * Adds a job that has not ended to the sets of waiting and recurring jobs and to its account's
 * urgent demand.
 */
void register_active_job(coordinator_state& state, const job& j);

/** Places no new tasks on a worker for `for_ms`; never shortens an earlier quarantine. */
void quarantine_worker(reduce_context& ctx, worker& w, time_ms for_ms);

/** Assigns a task to a worker. The start is sent after the assignment is stored. */
void assign_task(reduce_context& ctx, const task_id& id, const worker_incarnation& where,
                 std::uint32_t run);

/** Sends a start, or resends it; a repeated order for the same run has no further effect. */
void order_start(reduce_context& ctx, const task_id& id, task_ref ref);

/**
 * Sends the starts of tasks that are placed on a worker and stored, unless runs that are about to
 * end still occupy the capacity.
 */
void send_allowed_starts(reduce_context& ctx, worker& w);

/** Releases the tasks that are placed on a worker and whose starts were not sent. */
void release_placed_tasks(reduce_context& ctx, worker& w, std::string_view reason);

/** Returns whether the last answer of a worker is from right before a monotonic time, or later. */
[[nodiscard]] bool answered_just_before(const worker& w, time_ms at_ms);

/**
 * Returns whether a task under suspicion of crashing workers waits until its worker answers a poll.
 * Otherwise its start might be sent to a worker that is down already, and be blamed for that.
 */
[[nodiscard]] bool awaits_answer(const task& t, const worker& w, time_ms now_ms);

/** Stops a run. It occupies its capacity until the worker lists it as ended. */
void stop_task(reduce_context& ctx, const task_id& id, task_ref ref, std::string_view reason);

/** Frees the capacity of a run that is known to be over; the task becomes idle again. */
void release_task(reduce_context& ctx, const task_id& id, task_ref ref, std::string_view reason);

/** Applies the end of a task's current run. */
void apply_end(reduce_context& ctx, const task_ref& ref, const ended_run& end);

/** Marks a job as ended and stops its remaining runs. */
void end_job(reduce_context& ctx, job& j);

/** Ends a job whose progress has reached a final state. */
void end_job_if_final(reduce_context& ctx, job& j);

/** Creates the occurrences that are due. */
void create_due_occurrences(reduce_context& ctx, job& j);

} // namespace fulmarworks::scheduler
