#pragma once

#include "context.h"

namespace fulmarworks {

/** Adds and removes worker links to match the racks that this instance owns. */
void update_links(context& c);

/**
 * Polls workers, reports those that do not answer as suspect or lost, and requests changes of host
 * power.
 */
void check_workers(context& c);

void handle_worker(context& c, const worker_answered& e);
void handle_worker(context& c, const worker_unchanged& e);
void handle_worker(context& c, const worker_failed& e);
void handle_host_list(context& c, const host_list_read& e);

} // namespace fulmarworks
