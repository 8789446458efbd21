#pragma once

#include "base/time.h"

namespace fulmarworks::scheduler {

/** Limits of the deployment that decisions depend on. All come from the process settings. */
struct settings {
    /** Longest lease that a worker grants. */
    time_ms max_lease_ms = 6000;
    /** Time that a worker takes at most to stop a run. */
    time_ms stop_timeout_ms = 400;
    /** Time within which guaranteed urgent work must have begun. */
    time_ms reclaim_ms = 2700;
    /** Slow-down of a task away from its data or its gang's rack. */
    double remote_factor = 3;
    /** Time for which the state of an ended job can be asked for. */
    time_ms status_retention_ms = 120000;
    /** Time for which an earlier leader may go on renewing workers' leases after a new one took
     * over. */
    time_ms predecessor_grace_ms = 6000;
};

} // namespace fulmarworks::scheduler
