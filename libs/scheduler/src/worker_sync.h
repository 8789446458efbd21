#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/** An order without an answer is sent again after this. */
inline constexpr time_ms order_resend_interval_ms = 400;

/** Releases everything that a worker ran and that is known to be over. */
void release_all(reduce_context& ctx, worker& w, std::string_view reason);

/** Returns the time after which no lease is alive that was granted until `granted_until_ms`. */
[[nodiscard]] time_ms longest_lease_end(const settings& limits, time_ms granted_until_ms);

/** Returns the time after which a lease of `lease_ms` that was granted at `granted_at_ms` has run
 * out, also by the slowest clock. */
[[nodiscard]] time_ms longest_grant_end(time_ms granted_at_ms, time_ms lease_ms);

/** Takes over what a worker's entry in the registry says. */
void apply_report(reduce_context& ctx, const worker_report& report);

/** Takes over that a worker has no readable entry any more. */
void apply_unlisted(reduce_context& ctx, const std::string& id);

/** Compares a worker's own lists with the assignments and settles every difference. */
void apply_poll(reduce_context& ctx, const poll_answered& answer);

void apply_poll_failure(reduce_context& ctx, const poll_failed& failure);

void apply_start_answer(reduce_context& ctx, const start_answered& answer);

void apply_stop_answer(reduce_context& ctx, const stop_answered& answer);

/** Polls workers, repeats unanswered orders, and releases what an expired lease has ended. */
void maintain_workers(reduce_context& ctx);

} // namespace fulmarworks::scheduler
