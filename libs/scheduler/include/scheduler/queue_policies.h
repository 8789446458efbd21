#pragma once

#include "scheduler/job_spec.h"

#include <cstdint>
#include <map>
#include <string>

namespace fulmarworks::scheduler {

/** Policies of the queues in one version of the operator's configuration. */
struct queue_policies {
    /** 0 before the first configuration. */
    std::uint64_t version = 0;
    std::map<std::string, queue_policy> by_queue;
};

} // namespace fulmarworks::scheduler
