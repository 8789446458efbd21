#pragma once

#include "model/configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fulmarworks {

/** A fault in a configuration document. */
struct configuration_fault {
    /** Line in the document, from 1; 0 for a fault of the whole. */
    int line = 0;
    std::string message;
    std::string remedy;
};

FULMARWORKS_JSON(configuration_fault, line, message, remedy)

/** One object put or deleted by name. */
struct object_edit {
    bool remove = false;
    /** The object to put; for a removal only its name matters. */
    std::variant<failure_domain, host_pool, client_account, guarantee, retry_policy, job_class,
                 scheduling_policy>
        object;
    int line = 0;
};

/** A whole configuration or a set of edits, as written by an operator. */
struct configuration_document {
    std::optional<std::uint64_t> based_on;
    bool whole = true;
    std::vector<object_edit> edits;
    std::vector<configuration_fault> faults;
};

/**
 * Parses a YAML document that holds either all objects or `edits`. Faults of syntax, units and
 * unknown fields are listed in the result with their lines. Never throws. Thread safe.
 */
[[nodiscard]] configuration_document parse_configuration_document(std::string_view yaml);

/**
 * Returns the configuration after the document's edits; a whole document replaces `base`.
 * Removing a name that does not exist and putting a name twice are added to `faults`. Thread safe.
 */
[[nodiscard]] configuration apply_document(const configuration& base,
                                           const configuration_document& document,
                                           std::vector<configuration_fault>& faults);

/**
 * Checks references, ranges and that all guarantees can be packed at once. Returns every fault;
 * empty means valid. Pools and packing that are the same in the valid `base` are not checked
 * again. Thread safe.
 */
[[nodiscard]] std::vector<configuration_fault> check_configuration(const configuration& base,
                                                                   const configuration& candidate);

/**
 * Parses, applies and checks a document in one step. `faults` is empty exactly if the returned
 * configuration is valid. Thread safe.
 */
[[nodiscard]] configuration evaluate_document(const configuration& base, std::string_view yaml,
                                              std::vector<configuration_fault>& faults);

} // namespace fulmarworks
