#pragma once

#include "fold.h"

namespace fulmarworks {

/** Re-plans after hosts or guarantees changed; work in a cell that moved becomes pinned. */
void refresh_plan(fold& f);

/** Gives up the protection of a cell: work that can't be stopped becomes pinned where it is. */
void leave_cell(ledger_state& s, job& j);

/** Re-plans only where some guarantee has no blocks. */
void refresh_plan_if_at_risk(fold& f);

} // namespace fulmarworks
