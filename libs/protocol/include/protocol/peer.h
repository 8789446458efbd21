#pragma once

#include "base/json.h"

#include <string>

namespace fulmarworks {

/** Status that an instance publishes to its peers. A hint only: decisions are made in the log. */
struct peer_message {
    std::string name;
    std::uint64_t incarnation = 0;
    /** Address of the socket on which the sender publishes its messages. */
    std::string address;
    std::uint64_t next_offset = 0;
    std::uint64_t config_version = 0;
};

FULMARWORKS_JSON(peer_message, name, incarnation, address, next_offset, config_version)

} // namespace fulmarworks
