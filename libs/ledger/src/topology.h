#pragma once

#include "ledger/state.h"

namespace fulmarworks {

/** Adds the hosts that the configuration names and retires those that it no longer names. */
void apply_topology(ledger_state& s);

/** Brings the cells in step with the guarantees; unchanged cells keep their blocks. */
void apply_guarantees(ledger_state& s);

/** Rebuilds queues, usage, occupancy and indexes from the jobs and cells of a snapshot. */
void rebuild_derived(ledger_state& s);

} // namespace fulmarworks
