#pragma once

#include "base/error.h"
#include "base/json.h"
#include "instance/instance_settings.h"
#include "ledger/job.h"

#include <string>
#include <string_view>

namespace fulmarworks {

/** A submission as a caller sends it. */
struct parsed_submission {
    job_request request;
    time_ms wait_ms = 0;
};

/** Parses and validates a submission. `now` is the default issue time, in wall clock time. Errors:
 * invalid_argument. Never throws. */
[[nodiscard]] result<parsed_submission> parse_submission(std::string_view body, time_ms now,
                                                         const instance_limits& limits);

/** A configuration change as an operator sends it. */
struct parsed_publish {
    std::string publish_id;
    std::uint64_t based_on = 0;
    std::string document;
};

/** Parses and validates a configuration change. Errors: invalid_argument. Never throws. */
[[nodiscard]] result<parsed_publish> parse_publish(std::string_view body);

/** Returns whether a text is a valid account name or request id: 1 to 128 characters of
 * A-Z a-z 0-9 . _ : - */
[[nodiscard]] bool is_identifier(std::string_view text);

} // namespace fulmarworks
