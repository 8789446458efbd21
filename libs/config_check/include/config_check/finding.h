#pragma once

#include "base/enum_names.h"
#include "config_check/location.h"

#include <optional>
#include <string>
#include <vector>

namespace fulmarworks::config_check {

/**
 * An error is refused or ignored by the entry hosts, or makes the meaning of the document depend on
 * the order of its entries. A warning is accepted but probably not intended. A note needs no
 * action.
 */
enum class severity { note, warning, error };

enum class finding_kind {
    // The document's form.
    not_json,
    not_an_object,
    missing,
    mistyped,
    mistyped_but_accepted, // entry hosts read another value or none
    converted,             // entry hosts truncate a fraction or convert a truth value
    out_of_range,
    duplicate_member, // two members of one JSON object have the same name
    unknown_field,
    misspelt_field,
    // Entries that contradict each other or can't have an effect.
    empty_list,
    duplicate_name,
    shadowed_route,
    unmatchable_host,
    mixed_case_host,
    unmatchable_prefix,
    prefix_without_slash,
    unknown_pool,
    unused_pool,
    account_without_keys,
    empty_key,
    repeated_key,
    shared_key,
    public_beside_guarantees,
    // Values.
    unusual_priority,
    no_attempts,
    timeout_not_positive,
    timeout_below_objective,
    no_objective,
    negative_guarantee,
    guarantees_above_capacity,
    guarantee_without_urgent_route,
    body_limit_below_payload,
    // Comparison with the version in force.
    version_not_increased,
    version_reused,
    identical,
};

struct finding {
    finding_kind kind = finding_kind::not_json;
    severity level = severity::error;
    location where;
    /** The entry that this one contradicts. */
    std::optional<location> other;
    /** Names or figures for the message. Never contains an API key. */
    std::string detail;
    /** Number of entries that the finding stands for; `where` is the first of them. */
    std::size_t entries = 1;
};

using findings = std::vector<finding>;

} // namespace fulmarworks::config_check

namespace fulmarworks {

template <>
struct enum_names<config_check::severity> {
    static constexpr enum_name<config_check::severity> names[] = {
        {config_check::severity::note, "note"},
        {config_check::severity::warning, "warning"},
        {config_check::severity::error, "error"}};
};

} // namespace fulmarworks
