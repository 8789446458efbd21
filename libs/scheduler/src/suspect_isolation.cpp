#include "suspect_isolation.h"

namespace fulmarworks::scheduler {

namespace {

/** A task that may have crashed a worker waits this long for an idle worker. */
constexpr time_ms exclusive_wait_ms = 1000;
/** It waits this long for a worker whose other runs are not suspects for its next crash. */
constexpr time_ms isolation_wait_ms = 3000;

} // namespace

isolation required_isolation(const task& t, time_ms now_ms) {
    if (!is_suspect(t.losses)) {
        return isolation::none;
    }
    const time_ms waited = now_ms - t.lost_at_ms;
    if (waited < exclusive_wait_ms) {
        return isolation::exclusive;
    }
    return waited < isolation_wait_ms ? isolation::from_unproven_runs : isolation::none;
}

} // namespace fulmarworks::scheduler
