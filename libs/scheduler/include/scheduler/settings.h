#pragma once

#include "base/time.h"

namespace fulmarworks::scheduler {

/** Deployment limits that decisions depend on. All come from the process settings. */
struct settings {
    /** Maximum duration of a lease that a worker accepts. */
    time_ms max_lease_ms = 6000;
    /** Interval in which workers write their registry entries. The registry deletes an entry after
     * three intervals of silence, or when the worker has left. */
    time_ms heartbeat_ms = 1500;
    /** Time after the registry accepted that a worker drains from which no task may be started
     * there. */
    time_ms drain_bound_ms = 2000;
    /** Maximum time that a worker takes to stop a run. */
    time_ms stop_timeout_ms = 400;
    /** Time within which guaranteed urgent work must have started. */
    time_ms reclaim_ms = 2700;
    /** Factor by which a task runs slower outside the rack of its data or of its gang. */
    double remote_factor = 3;
    /** Time for which the state of an ended job can be queried. */
    time_ms status_retention_ms = 120000;
    /** Whether decisions use run times learned from finished runs instead of callers' estimates. */
    bool learned_run_times = true;
    /** Whether the speeds of workers are learned and used for placement. */
    bool learned_worker_speeds = true;
};

} // namespace fulmarworks::scheduler
