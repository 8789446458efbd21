#pragma once

#include "ledger/state.h"

namespace fulmarworks {

/** Adds hosts that are new in the configuration and marks hosts that it no longer has `removed`. */
void apply_topology(ledger_state& s);

/** Updates the cells to the configured guarantees. Unchanged cells keep their blocks. */
void apply_guarantees(ledger_state& s);

/** Rebuilds queues, usage, allocations and indexes from the jobs and cells of a snapshot. */
void rebuild_derived(ledger_state& s);

} // namespace fulmarworks
