#pragma once

#include "caller_api.h"
#include "http/http_server.h"
#include "leader.h"

#include <string>

namespace fulmarworks::node {

/** Shortest Retry-After of a refused request: about the time that a change of leader takes. */
inline constexpr time_ms min_retry_after_ms = 1000;

/** Returns for how long a caller waits for its answer, within limits. Thread safe. */
[[nodiscard]] time_ms caller_timeout_of(const http_request& request);

/** Returns status 503: the request has not been executed. Thread safe. */
[[nodiscard]] http_response unavailable(time_ms retry_after_ms = min_retry_after_ms);

/** Returns status 504: the request may or may not have been executed; the caller may send it again.
 * Thread safe. */
[[nodiscard]] http_response outcome_unknown();

/** Returns the answer to the query or the cancellation of a job. Thread safe. */
[[nodiscard]] http_response state_response(const job_answer& answer);

/** Returns the answer to the query of a queue; `term` is null on hosts that don't lead. */
[[nodiscard]] http_response pending_response(const leader* term, const std::string& queue);

} // namespace fulmarworks::node
