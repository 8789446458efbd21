#pragma once

#include "apply_context.h"

namespace fulmarworks {

/**
 * Updates the reclaim plan after a change of hosts or guarantees. Detaches the jobs in a cell whose
 * blocks changed from that cell.
 */
void refresh_reclaim_plan(apply_context& ctx);

/** Detaches a job from its cell. A job that can't be preempted becomes pinned to its hosts. */
void detach_from_cell(ledger_state& s, job& j);

/** Updates the reclaim plan if a guarantee cell has no blocks. */
void refresh_reclaim_plan_if_at_risk(apply_context& ctx);

} // namespace fulmarworks
