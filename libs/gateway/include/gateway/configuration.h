#pragma once

#include "base/time.h"
#include "scheduler/event.h"
#include "scheduler/job_spec.h"

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
    scheduler::queue_policy terms;
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
