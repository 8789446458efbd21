#pragma once

#include "lifecycle.h"

namespace fulmarworks::scheduler {

/** An unanswered order is resent after this time. */
inline constexpr time_ms order_resend_interval_ms = 400;

/** Releases all assignments of a worker whose runs are known to be over. */
void release_all(reduce_context& ctx, worker& w, std::string_view reason);

/** Applies a worker's registry entry. */
void apply_report(reduce_context& ctx, const worker_reported& reported);

/** Applies that a worker has no readable registry entry. */
void apply_unlisted(reduce_context& ctx, const worker_unlisted& unlisted);

/** Applies one read of the worker registry. */
void apply_registry(reduce_context& ctx, const workers_reported& read);

/** Applies a poll answer: reconciles the worker's lists of runs with the assignments. */
void apply_poll(reduce_context& ctx, const poll_answered& answer);

void apply_poll_failure(reduce_context& ctx, const poll_failed& failure);

void apply_start_answer(reduce_context& ctx, const start_answered& answer);

void apply_stop_answer(reduce_context& ctx, const stop_answered& answer);

/**
 * Polls workers, resends unanswered orders, stops stalled runs, and releases assignments whose
 * lease has expired.
 */
void maintain_workers(reduce_context& ctx);

} // namespace fulmarworks::scheduler
