#pragma once

#include "gateway/configuration.h"

#include <string>
#include <string_view>
#include <variant>

namespace fulmarworks::gateway {

/** What decides how a request is treated, before its body is read. */
struct request_line {
    std::string_view method;
    std::string_view host;
    std::string_view path;
    std::string_view api_key;
};

struct submit_job {
    const route* queue = nullptr;
    std::string account;
    std::string job;
};
struct query_job {
    std::string job;
};
struct cancel_job {
    std::string job;
};
struct query_queue {
    const route* queue = nullptr;
};

enum class refusal {
    no_configuration, // nothing was read from the store yet
    unknown_route,
    unknown_key,
    unknown_method,
    malformed_job_id,
};

using classified = std::variant<submit_job, query_job, cancel_job, query_queue, refusal>;

/**
 * Decides what a request asks for under a configuration; `config` is null before the first one.
 * Pointers in the result point into `config`. Thread safe.
 */
[[nodiscard]] classified classify(const configuration* config, const request_line& request);

/** Returns the route with the longest prefix that fits, or null. Thread safe. */
[[nodiscard]] const route* find_route(const configuration& config, std::string_view host,
                                      std::string_view path);

/** Returns the HTTP status of a refusal. Thread safe. */
[[nodiscard]] int status_of(refusal reason);

/** Returns the name of a refusal in logs and metrics. Thread safe. */
[[nodiscard]] std::string_view name_of(refusal reason);

} // namespace fulmarworks::gateway
