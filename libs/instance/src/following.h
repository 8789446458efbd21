#pragma once

#include "context.h"

namespace fulmarworks {

void handle_log(context& c, const snapshot_loaded& e);
void handle_log(context& c, const snapshot_load_failed& e);
void handle_log(context& c, const log_records& e);
void handle_log(context& c, const log_trimmed& e);
void handle_log(context& c, const log_read_failed& e);
void handle_log(context& c, const snapshot_written& e);

/** Tries again to load a snapshot, and writes one when it is this instance's turn. */
void check_snapshots(context& c);

/** Appends the records of a planning step when it is this instance's turn to plan. */
void plan_if_due(context& c);

} // namespace fulmarworks
