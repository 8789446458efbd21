#pragma once

#include "base/time.h"
#include "scheduler/event.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fulmarworks::gateway {

/** A queue: where its requests arrive and how its jobs are treated. */
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    /** Pool of workers that run the queue's jobs. */
    std::string pool;
    int priority = 0;
    std::uint32_t max_attempts = 1;
    double slack_factor = 1;
    time_ms latency_objective_ms = 0;
    /** Callers need no key. */
    bool is_public = false;
};

/** The operator's newest configuration, as far as entry hosts need it. */
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    /** Client account by API key. */
    std::map<std::string, std::string> account_by_key;
    scheduler::guarantees guarantees;
    std::size_t max_body_bytes = 256 * 1024;
};

} // namespace fulmarworks::gateway
