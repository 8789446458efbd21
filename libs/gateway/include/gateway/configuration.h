#pragma once

#include "base/time.h"
#include "scheduler/event.h"
#include "scheduler/job_spec.h"
#include "scheduler/queue_policies.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarworks::gateway {

/** A job queue: the host and path that address it, and the policy of its jobs. */
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    scheduler::queue_policy policy;
    /** Whether callers need no API key. */
    bool is_public = false;
};

/** The part of the operator's configuration that entry hosts use. */
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    /** Maps API keys to client accounts. */
    std::map<std::string, std::string> account_by_key;
    scheduler::guarantees guarantees;
    std::size_t max_body_bytes = 256 * 1024;
};

/**
 * Returns the policies of all queues by their names. A name whose routes have different policies is
 * left out, as it doesn't tell which of them a job belongs to. Thread safe.
 */
[[nodiscard]] scheduler::queue_policies queue_policies_of(const configuration& config);

} // namespace fulmarworks::gateway
