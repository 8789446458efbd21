#pragma once

#include "context.h"

namespace fulmarworks {

/** Queues a record for the log; returns its sequence in the lane. */
std::uint64_t enqueue_record(context& c, append_lane lane, record_body body);

/** Sends batches that are due. */
void pump_appends(context& c);

void handle_append(context& c, const append_acknowledged& e);
void handle_append(context& c, const append_outcome_unknown& e);

/** Notes that a record of this instance was seen in the log. */
void note_own_record(context& c, const record_header& header);

/** Returns the number of records that are not yet known to be in the log. */
[[nodiscard]] std::size_t pending_records(const instance_state& s);

/** Takes back the submissions that were never sent; returns their job ids. */
std::vector<std::string> withdraw_unsent_submissions(context& c);

} // namespace fulmarworks
