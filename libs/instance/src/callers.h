#pragma once

#include "context.h"

namespace fulmarworks {

void handle_caller(context& c, const caller_submitted& e);
void handle_caller(context& c, const caller_queried& e);
void handle_caller(context& c, const caller_cancelled& e);
void handle_caller(context& c, const caller_published& e);
void handle_caller(context& c, const caller_disconnected& e);

/** Answers the callers whose answer follows from a changed job. */
void answer_callers_of(context& c, const std::string& job_id);

/** Answers publishers whose configuration was decided. */
void answer_publishers(context& c);

/** Answers callers whose time is up, and refuses what can't be recorded. */
void check_callers(context& c);

/** Answers every caller with what is known now. */
void answer_all_callers(context& c);

} // namespace fulmarworks
