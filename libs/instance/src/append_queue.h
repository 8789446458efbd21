#pragma once

#include "context.h"

namespace fulmarworks {

/** Queues a record for appending; returns its sequence number in the lane. */
std::uint64_t enqueue_record(context& c, append_lane lane, record_body body);

/** Sends the next batch of each lane that is due. */
void send_due_batches(context& c);

void handle_append(context& c, const append_acknowledged& e);
void handle_append(context& c, const append_outcome_unknown& e);

/**
 * Completes the batch in flight when its last record is read from the log, which acknowledges the
 * append even if the answer to it was lost.
 */
void acknowledge_own_record(context& c, const record_header& header);

/** Returns the number of records that are queued or in flight. */
[[nodiscard]] std::size_t pending_records(const instance_state& s);

/** Removes the queued submissions that were never sent; returns their job ids. */
std::vector<std::string> withdraw_unsent_submissions(context& c);

} // namespace fulmarworks
