#pragma once

#include "context.h"

namespace fulmarworks {

/**
 * Compares what the log wants of one worker with what the worker last reported, and sends the
 * orders and records that bring the two together. Level-triggered: whatever was lost or doubled
 * before, the next comparison repairs it. Precondition: this instance owns the host's rack.
 */
void reconcile_host(context& c, host_index h);

/** Forgets retry times that have long passed. */
void forget_old_retries(worker_link& link, time_ms now);

} // namespace fulmarworks
