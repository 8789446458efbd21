#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/**
 * Returns whether the runs and placements on a worker exceed the capacity that it reports now.
 *
 * A placement fits when it is decided, but the worker's capacity may shrink before its start is
 * sent or repeated: while the placement is being stored, or while other runs are being stopped.
 */
[[nodiscard]] bool is_overbooked(coordinator_state& state, const worker& w);

/** Releases placed tasks of the worker until the others fit or none is left. */
void release_excess_placements(reduce_context& ctx, worker& w);

} // namespace fulmarworks::scheduler
