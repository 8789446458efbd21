#pragma once

#include "base/json.h"

#include <string>

namespace fulmarworks {

/** What instances tell one another; a hint, never a decision. */
struct peer_message {
    std::string name;
    std::uint64_t incarnation = 0;
    /** Address at which the sender publishes. */
    std::string address;
    std::uint64_t next_offset = 0;
    std::uint64_t config_version = 0;
};

FULMARWORKS_JSON(peer_message, name, incarnation, address, next_offset, config_version)

} // namespace fulmarworks
