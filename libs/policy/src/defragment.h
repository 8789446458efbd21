#pragma once

#include "planning.h"

namespace fulmarworks {

/**
 * Where fragmentation weighs more than completion time: moves single checkpointable tasks off the
 * hosts of one rack that are cheapest to empty, if the moved tasks fit elsewhere and the largest
 * promised shape becomes free by it.
 */
void defragment(planning& p);

/** Returns whether the job should leave the hosts that are being emptied alone. */
[[nodiscard]] bool avoids_draining(const planning& p, const job& j);

} // namespace fulmarworks
