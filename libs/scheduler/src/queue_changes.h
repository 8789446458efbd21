#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/**
 * Puts a job that is not registered yet under the policy that its queue has in the newest known
 * configuration, unless the job was accepted under a newer one, or the queue was removed. Returns
 * whether the policy has changed.
 */
bool adopt_queue_policy(const coordinator_state& state, job& j);

/**
 * Applies a newer version of the configuration to the accepted jobs of its queues. What is decided
 * from then on follows the new policies; runs that are placed go on where they are. The jobs of a
 * removed queue keep its last policy.
 */
void apply_queues(reduce_context& ctx, const queues_changed& e);

} // namespace fulmarworks::scheduler
