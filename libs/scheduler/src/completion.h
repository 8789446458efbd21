#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/** Frees the capacity that a task has booked on its worker. */
void release_capacity(reduce_context& ctx, const task_id& id, task& t);

/**
 * Leaves a run that is over and hasn't completed its task: the task waits for its next run, or is
 * complete if an earlier run has completed it. Precondition: its capacity is released.
 */
void leave_run(reduce_context& ctx, const task_ref& ref);

/**
 * Applies that a run has ended as done. Whatever the task is doing by then, it needs no other run:
 *
 * | phase of the task        | its run     | becomes                                              |
 * | ------------------------ | ----------- | ---------------------------------------------------- |
 * | idle                     | any         | complete                                             |
 * | placed                   | newer       | released before its start is sent, then complete     |
 * | ordered, running         | newer       | stopped; complete once that run is over              |
 * | stopping                 | newer       | complete once that run is over                       |
 * | unverified               | newer       | stopped once its worker lists it; then complete      |
 * | any with a worker        | the same    | complete, and its capacity is released               |
 * | complete                 | any         | no change                                            |
 *
 * One member's end completes a gang, so the same holds for each of its other members. If a member
 * has the same run, its worker may list that end later, and starts there wait for it.
 *
 * Preconditions: the task's job has not ended, and the task doesn't run for ever.
 */
void complete_run(reduce_context& ctx, const task_ref& ref, const ended_run& end);

} // namespace fulmarworks::scheduler
