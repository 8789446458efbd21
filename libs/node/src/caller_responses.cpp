#include "caller_responses.h"

#include "base/json.h"

#include <algorithm>
#include <charconv>

namespace fulmarworks::node {

namespace {

/** Caller timeout if the request does not state one. */
constexpr time_ms default_caller_timeout_ms = 3000;
/** Longest caller timeout; a caller that states a longer one gets its answer by then. */
constexpr time_ms max_caller_timeout_ms = 60 * milliseconds_per_second;

} // namespace

time_ms caller_timeout_of(const http_request& request) {
    const std::string& text = request.headers[caller_timeout];
    time_ms value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && value > 0 ? std::min(value, max_caller_timeout_ms)
                                                 : default_caller_timeout_ms;
}

http_response unavailable(time_ms retry_after_ms) {
    http_response response = empty_response(503);
    response.retry_after_ms = retry_after_ms;
    response.close_connection = true;
    return response;
}

http_response outcome_unknown() {
    http_response response = empty_response(504);
    response.close_connection = true;
    return response;
}

http_response state_response(const job_answer& answer) {
    if (!answer.ready) {
        return unavailable();
    }
    if (!answer.known) {
        return empty_response(410);
    }
    http_response response;
    response.body = answer.state.empty() ? "{}" : json({{"state", answer.state}}).dump();
    return response;
}

http_response pending_response(const leader* term, const std::string& queue) {
    if (term == nullptr || !term->ready()) {
        return unavailable();
    }
    http_response response;
    response.body = json({{"pending", term->pending(queue)}}).dump();
    return response;
}

} // namespace fulmarworks::node
