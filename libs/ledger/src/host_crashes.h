#pragma once

#include "apply_context.h"

namespace fulmarworks {

/**
 * Counts the hosts that were lost under a job, so that a job that crashes its hosts ends.
 *
 * Answers a request that takes down host after host. A host that falls silent counts until it
 * answers again in the same incarnation.
 */

/** Records that a host was lost while it ran a task of the job. */
void record_lost_host(apply_context& ctx, job& j, host_index h, bool crashed);

/**
 * Applies that a host answers in `incarnation`: the jobs that were lost with it were lost to a
 * crash or to silence. Ends queued jobs that have crashed too many hosts.
 */
void resolve_lost_host(apply_context& ctx, host_index h, std::uint64_t incarnation);

/** Returns whether the job has crashed so many hosts that it must not be placed again. */
[[nodiscard]] bool crashes_hosts(const job& j);

/** Returns how long the job waits for its lost hosts to answer before it is placed again. */
[[nodiscard]] time_ms delay_after_loss(const job& j);

} // namespace fulmarworks
