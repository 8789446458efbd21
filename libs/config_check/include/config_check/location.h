#pragma once

#include <cstddef>
#include <optional>

namespace fulmarworks::config_check {

/** Parts of the operator's configuration document. */
enum class section { document, routes, pools, accounts, limits };

/** Values of the document's entries. `none` stands for the whole entry. */
enum class field {
    none,
    version,
    routes,
    pools,
    accounts,
    limits,
    name,
    host,
    path_prefix,
    call_type,
    pool,
    priority,
    max_attempts,
    slack_factor,
    latency_objective,
    timeout,
    is_public,
    keys,
    guaranteed,
    guaranteed_accelerators,
    max_body_bytes,
};

/** A place in the document, independent of the names that the document uses. */
struct location {
    section part = section::document;
    /** Position of the entry within a list section. */
    std::optional<std::size_t> entry;
    field value = field::none;
    /** Position within the value, if it is a list. */
    std::optional<std::size_t> element;

    friend auto operator<=>(const location&, const location&) = default;
};

} // namespace fulmarworks::config_check
