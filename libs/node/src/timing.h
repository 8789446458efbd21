#pragma once

#include "base/time.h"

namespace fulmarworks::node {

/** Delay before a call to the store or to the leader is retried. 15 times the store's usual
 * response time of 4 ms, which limits the load on a busy store and costs an urgent caller little
 * time. */
inline constexpr time_ms retry_delay_ms = 60;

/** Timeout for storing a submission, directly or through a peer. Longer than the slowest responses
 * of a slow store, and short enough for a second attempt within a caller timeout of 3 s. */
inline constexpr time_ms submission_timeout_ms = 700;

} // namespace fulmarworks::node
