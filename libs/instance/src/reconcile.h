#pragma once

#include "context.h"

namespace fulmarworks {

/**
 * Compares the desired state of one worker in the ledger with its last report, and emits the orders
 * and records that make them match. Level-triggered: the next comparison corrects the effects of
 * lost or repeated messages. Precondition: this instance owns the host's rack.
 */
void reconcile_host(context& c, host_index h);

/** Removes retry times that passed long ago, once a link holds many of them. */
void remove_expired_retries(worker_link& link, time_ms now);

} // namespace fulmarworks
