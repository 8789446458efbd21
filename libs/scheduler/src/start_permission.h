#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/**
 * Rule by which no task starts on a worker long after the registry accepted that it drains.
 *
 * Let B be the bound between the two. A start is ordered only while the view of the registry was
 * confirmed less than V ago, and is sent, by whichever host, at most W after the order. A worker
 * whose report isn't in the view began to drain after the confirmation, so it gets no start later
 * than V + W after that. What remains of B is for the way to the worker. Only monotonic clocks take
 * part, so a process that was suspended or is short of processor time gives fewer orders, not late
 * ones.
 */

/** Returns V. Thread safe. */
[[nodiscard]] time_ms longest_view_age(const settings& limits);

/** Returns W. Thread safe. */
[[nodiscard]] time_ms start_sending_limit(const settings& limits);

/** Returns whether the view of the registry is current enough for orders of starts. Thread safe. */
[[nodiscard]] bool has_current_view(const coordinator_state& state, time_ms now_ms);

/** Holds all starts until the view of the registry is current again. */
void hold_starts(reduce_context& ctx);

/** Sends the starts that were held, if the view of the registry is current. */
void resume_starts(reduce_context& ctx);

} // namespace fulmarworks::scheduler
