#pragma once

#include "planning.h"

namespace fulmarworks {

/**
 * Stops borrowers in one of the account's own guarantee cells for a job that fits it; takes the
 * cell that loses least work. Returns whether the job now waits for a cell.
 */
bool reclaim_cell(planning& p, const job& j);

/** Stops one stoppable task for an urgent one; takes the one that loses least work. */
bool preempt_for_urgent(planning& p, const job& j, const job_class& c);

} // namespace fulmarworks
