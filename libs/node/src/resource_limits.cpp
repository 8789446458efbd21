#include "node/resource_limits.h"

#include <algorithm>

namespace fulmarworks::node {

resource_limits make_resource_limits(std::size_t memory_mb, std::size_t max_open_files) {
    constexpr std::size_t client_part = 4;
    constexpr std::size_t relayed_starts_part = 16;
    resource_limits limits;
    limits.memory_mb = memory_mb;
    limits.max_open_files = max_open_files;
    limits.client_memory_mb = std::max<std::size_t>(memory_mb / client_part, 1);
    limits.job_memory_mb = limits.client_memory_mb;
    limits.max_connections = std::max<std::size_t>(max_open_files / client_part, 1);
    limits.max_open_calls = std::max<std::size_t>(max_open_files / client_part / 2, 1);
    limits.max_relayed_starts = std::max<std::size_t>(max_open_files / relayed_starts_part, 1);
    return limits;
}

} // namespace fulmarworks::node
