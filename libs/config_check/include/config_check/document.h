#pragma once

#include "gateway/configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace fulmarworks::config_check {

struct route_entry {
    /** As written: entry hosts use at least 1 for `policy.max_attempts`. */
    gateway::route decoded;
    /** Not read by entry hosts, like `call_type`. */
    std::optional<time_ms> timeout_ms;
    std::string call_type;
};

struct api_key {
    /** Secret; never printed. */
    std::string value;
    /** Position in the account's list. */
    std::size_t position = 0;
};

struct account_entry {
    std::string name;
    std::vector<api_key> keys;
    /** Guaranteed accelerators; nothing if the entry has no guarantee. */
    std::optional<std::int64_t> guaranteed;
};

/**
 * The entries of a configuration document in their order, with duplicates, which the configuration
 * of the entry hosts no longer shows.
 */
struct document {
    std::uint64_t version = 0;
    std::vector<route_entry> routes;
    /** Names of the pools of workers; nothing if the document has no list of them. */
    std::optional<std::vector<std::string>> pools;
    std::vector<account_entry> accounts;
    std::size_t max_body_bytes = gateway::configuration{}.max_body_bytes;
};

} // namespace fulmarworks::config_check
