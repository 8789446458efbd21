#pragma once

#include "apply_context.h"

namespace fulmarworks {

/** Adds a job to its account's queue. Precondition: the job's phase is `queued`. */
void enqueue(ledger_state& s, const job& j);

/** Removes a job from its account's queue, if it is queued there. */
void dequeue(ledger_state& s, const job& j);

/** Allocates the resources of the members that have not ended and adds them to the indexes. */
void allocate_members(ledger_state& s, const job& j);

/** Ends one member and releases its resources. Precondition: the member has not ended. */
void end_member(apply_context& ctx, job& j, int member, task_outcome outcome);

/** Requests the stop of the members that have not ended. */
void begin_stopping(apply_context& ctx, job& j, job_reason reason);

/**
 * Finishes or requeues a job whose members have all ended. If some members still run while
 * another has ended without success, stops the running ones.
 */
void resolve_attempt(apply_context& ctx, job& j);

/** Moves a job to a final phase. */
void finish(apply_context& ctx, job& j, job_phase phase, job_reason reason);

/** Removes finished jobs whose retention has expired. */
void remove_expired_jobs(ledger_state& s);

/** Clears the claims on guarantee cells that are held for a job. */
void clear_claims(ledger_state& s, std::string_view job_id);

} // namespace fulmarworks
