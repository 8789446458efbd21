#pragma once

#include "apply_context.h"

namespace fulmarworks {

/** Records a failure on a host. Quarantines the host if several distinct jobs failed in a row. */
void record_task_failure(apply_context& ctx, host_index h, job& j);

/** Clears the failures of a host and ends its probation. */
void record_task_success(apply_context& ctx, host_index h);

/** Makes hosts whose quarantine has expired schedulable again; they stay on probation. */
void release_quarantined_hosts(apply_context& ctx);

} // namespace fulmarworks
