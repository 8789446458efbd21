#pragma once

#include "context.h"

namespace fulmarworks {

void handle_caller(context& c, const caller_submitted& e);
void handle_caller(context& c, const caller_queried& e);
void handle_caller(context& c, const caller_cancelled& e);
void handle_caller(context& c, const caller_published& e);
void handle_caller(context& c, const caller_disconnected& e);

/** Answers the callers of a job whose awaited state it has reached. */
void answer_callers_of(context& c, const std::string& job_id);

/** Answers the publishers whose configuration was accepted or rejected. */
void answer_publishers(context& c);

/**
 * Answers callers and publishers whose wait has timed out. While the log is unavailable, also
 * refuses the submissions that were never sent to it.
 */
void check_callers(context& c);

/** Answers every caller that waits for a job with the current state of that job. */
void answer_all_callers(context& c);

} // namespace fulmarworks
