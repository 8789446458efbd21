#pragma once

#include "fold.h"

namespace fulmarworks {

/** Puts a job into its account's queue. Precondition: its phase is queued. */
void enqueue(ledger_state& s, const job& j);

/** Takes a job out of its account's queue, where it stands there. */
void dequeue(ledger_state& s, const job& j);

/** Takes the resources of all members and enters them into the indexes. */
void occupy_members(ledger_state& s, const job& j);

/** Ends one member and frees its resources. Precondition: it has not ended. */
void end_member(fold& f, job& j, int member, task_outcome outcome);

/** Starts to stop the members that have not ended. */
void begin_stopping(fold& f, job& j, job_reason reason);

/** Once all members have ended: finishes the job, or queues it again. */
void settle(fold& f, job& j);

/** Gives a job its final phase. */
void finish(fold& f, job& j, job_phase phase, job_reason reason);

/** Removes finished jobs that are past their retention. */
void forget_finished(ledger_state& s);

/** Clears the claims of guarantee cells for a job. */
void clear_claims(ledger_state& s, std::string_view job_id);

} // namespace fulmarworks
