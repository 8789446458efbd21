#pragma once

#include "lookup.h"

namespace fulmarworks::scheduler {

/** One reduction in progress. */
struct reduce_context {
    coordinator_state& state;
    instant now;
    effects& out;
};

/** Logs a decision called `name`; `fields` is key=value text. */
void log_decision(reduce_context& ctx, std::string name, std::string fields);

/** Returns "task=ID.K.STEP.INDEX run=N" for log lines. */
[[nodiscard]] std::string describe_task(const task_id& id, std::uint32_t run);

/** Marks the progress of a job as changed, so that it is stored with the next batch. */
void mark_changed(reduce_context& ctx, const job& j);

/** Takes up a job that has not ended: its tasks wait, and its account's demand counts. */
void register_active_job(coordinator_state& state, const job& j);

/** Gives a worker no new tasks for some time, or longer if that was decided before. */
void quarantine_worker(reduce_context& ctx, worker& w, time_ms for_ms);

/** Books a task on a worker; the start follows once that is stored. */
void assign_task(reduce_context& ctx, const task_id& id, const worker_incarnation& where,
                 std::uint32_t run);

/** Sends a start, or sends it again; a repeated order of the same run has no further effect. */
void order_start(reduce_context& ctx, const task_id& id, task_ref ref);

/** Starts what is placed on a worker and stored, unless runs that are about to end still take the
 * room there. */
void begin_allowed_starts(reduce_context& ctx, worker& w);

/** Stops a run that holds room; it counts until its worker lists it as ended. */
void stop_task(reduce_context& ctx, const task_id& id, task_ref ref, std::string_view reason);

/** Frees the room of a run that is known not to be alive; the task waits for its next run. */
void release_task(reduce_context& ctx, const task_id& id, task_ref ref, std::string_view reason);

/** Applies the end of a task's current run. */
void apply_end(reduce_context& ctx, const task_ref& ref, const ended_run& end);

/** Ends a job for good and stops whatever of it still runs. */
void end_job(reduce_context& ctx, job& j);

/** Creates the occurrences that are due. */
void open_due_occurrences(reduce_context& ctx, job& j);

} // namespace fulmarworks::scheduler
