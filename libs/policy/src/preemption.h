#pragma once

#include "planning_step.h"

namespace fulmarworks {

/**
 * Stops the borrowers of one of the account's own guarantee cells for a job that fits into it.
 * Chooses the cell that loses the least work. Returns whether the job now waits for a cell.
 */
bool reclaim_cell(planning_step& p, const job& j);

/**
 * Stops the stoppable task that loses the least work in favour of an urgent one. Returns whether a
 * task was stopped.
 */
bool preempt_for_urgent(planning_step& p, const job& j, const job_class& c);

} // namespace fulmarworks
