#pragma once

#include "config_check/document.h"
#include "config_check/finding.h"

namespace fulmarworks::config_check {

enum class change_kind { added, removed, changed };

/** A difference between two versions. */
struct change {
    change_kind kind = change_kind::changed;
    /** A place in the new version; in the version in force for a removed entry. */
    location where;
    /** Name of the route, pool or account that the entry belongs to. */
    std::string name;
    /** Values before and after, for a changed value. Never an API key. */
    std::string before;
    std::string after;
};

struct comparison {
    std::vector<change> changes;
    /** What the version number implies. */
    findings version;
};

/**
 * Compares a document with the version in force. Entries correspond by name, entries of equal names
 * in their order; API keys by account and value, regardless of their position. Pure; thread safe.
 */
[[nodiscard]] comparison compare(const document& in_force, const document& candidate);

} // namespace fulmarworks::config_check

namespace fulmarworks {

template <>
struct enum_names<config_check::change_kind> {
    static constexpr enum_name<config_check::change_kind> names[] = {
        {config_check::change_kind::added, "added"},
        {config_check::change_kind::removed, "removed"},
        {config_check::change_kind::changed, "changed"}};
};

} // namespace fulmarworks
