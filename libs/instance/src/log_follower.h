#pragma once

#include "context.h"

namespace fulmarworks {

void handle_log(context& c, const snapshot_loaded& e);
void handle_log(context& c, const snapshot_load_failed& e);
void handle_log(context& c, const log_records& e);
void handle_log(context& c, const log_trimmed& e);
void handle_log(context& c, const log_read_failed& e);
void handle_log(context& c, const snapshot_written& e);

/**
 * Retries a failed load of a snapshot. Writes a snapshot if one is due and this instance has that
 * role.
 */
void check_snapshots(context& c);

/**
 * Runs a planning step if one is due and this instance has the role of the planner, or takes over
 * from one that does not plan.
 */
void plan_if_due(context& c);

} // namespace fulmarworks
