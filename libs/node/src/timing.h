#pragma once

#include "base/time.h"

namespace fulmarworks::node {

/** Pause before a call of the store or of the leader is repeated: fifteen answers of 4 ms, so that
 * a busy store isn't hammered and an urgent caller loses little. */
inline constexpr time_ms retry_pause_ms = 60;

/** Time limit of storing a submission, here or through a peer: leaves a caller of three seconds
 * time for a second attempt, and is above the slowest answers of a slow store. */
inline constexpr time_ms submission_timeout_ms = 700;

} // namespace fulmarworks::node
