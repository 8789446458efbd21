#pragma once

#include "base/error.h"
#include "base/time.h"
#include "platform/store_client.h"
#include "scheduler/worker.h"

namespace fulmarworks::node {

/**
 * Decodes an entry of the worker registry that was read at `wall_ms`. A start of the worker in the
 * future is an error: the worker's own answers, which state an earlier start, would count as those
 * of a previous incarnation for good. Errors: malformed_data. Thread safe.
 */
[[nodiscard]] result<scheduler::worker_report>
decode_worker_entry(const platform::logged_record& record, time_ms wall_ms);

} // namespace fulmarworks::node
