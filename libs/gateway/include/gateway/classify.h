#pragma once

#include "gateway/configuration.h"

#include <string>
#include <string_view>
#include <variant>

namespace fulmarworks::gateway {

/** The parts of an HTTP request that determine its kind; its body need not be read yet. */
struct request_head {
    std::string_view method;
    std::string_view host;
    std::string_view path;
    std::string_view api_key;
};

struct submit_job {
    /** Points into the configuration. */
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
    /** Points into the configuration. */
    const route* queue = nullptr;
};

/** Why a request is refused without being executed. */
enum class refusal {
    no_configuration, // no valid configuration from the store
    unknown_route,
    unknown_key,
    unknown_method,
    malformed_job_id,
};

using classified_call = std::variant<submit_job, query_job, cancel_job, query_queue, refusal>;

/**
 * Returns the call that a request makes, or why it is refused. `config` is null while no valid
 * configuration is known. Pointers in the result point into `config`. Thread safe.
 */
[[nodiscard]] classified_call classify(const configuration* config, const request_head& request);

/**
 * Returns the route of `host` with the longest prefix of `path`, or null. A port in `host` is
 * ignored. Thread safe.
 */
[[nodiscard]] const route* find_route(const configuration& config, std::string_view host,
                                      std::string_view path);

/** Returns whether `text` can be the id of a job. Thread safe. */
[[nodiscard]] bool is_job_id(std::string_view text);

/** Returns the HTTP status for a refusal. Thread safe. */
[[nodiscard]] int status_of(refusal reason);

/** Returns the name of a refusal as used in logs and metrics. Thread safe. */
[[nodiscard]] std::string_view name_of(refusal reason);

} // namespace fulmarworks::gateway
