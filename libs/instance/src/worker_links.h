#pragma once

#include "context.h"

namespace fulmarworks {

/** Brings the links in step with the racks that this instance owns. */
void update_links(context& c);

/** Polls workers, and reports those that do not answer. */
void check_workers(context& c);

void handle_worker(context& c, const worker_answered& e);
void handle_worker(context& c, const worker_unchanged& e);
void handle_worker(context& c, const worker_failed& e);
void handle_hosts(context& c, const host_list_read& e);

} // namespace fulmarworks
