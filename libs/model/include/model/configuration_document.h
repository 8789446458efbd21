#pragma once

#include "model/configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fulmarworks {

/** An error in a configuration document. */
struct configuration_fault {
    /** Line in the document, from 1; 0 if the error has no single line. */
    int line = 0;
    std::string message;
    std::string remedy;
};

FULMARWORKS_JSON(configuration_fault, line, message, remedy)

/** Creation, replacement or deletion of one object by name. */
struct object_edit {
    bool remove = false;
    /** The object to put; only its name is used if `remove` is set. */
    std::variant<failure_domain, host_pool, client_account, guarantee, retry_policy, job_class,
                 scheduling_policy>
        object;
    int line = 0;
};

/** A complete configuration or a set of edits, as written by an operator. */
struct configuration_document {
    std::optional<std::uint64_t> based_on;
    /** Whether the document replaces the configuration instead of editing it. */
    bool whole = true;
    std::vector<object_edit> edits;
    std::vector<configuration_fault> faults;
};

/**
 * Parses a YAML document that holds either all objects or `edits`. The result lists errors in
 * syntax and units and unknown fields with their lines. Never throws. Thread safe.
 */
[[nodiscard]] configuration_document parse_configuration_document(std::string_view yaml);

/**
 * Returns `base` with the document's edits applied, or the objects of a complete document alone.
 * Adds an error to `faults` for each deletion of an unknown name and for each name that a complete
 * document defines twice. Thread safe.
 */
[[nodiscard]] configuration apply_document(const configuration& base,
                                           const configuration_document& document,
                                           std::vector<configuration_fault>& faults);

/**
 * Checks references and value ranges, and that the hosts can hold all guarantees at once. Returns
 * all errors; none if `candidate` is valid. Skips the checks of pools and packing whose inputs are
 * the same as in `base`. Precondition: `base` is valid. Thread safe.
 */
[[nodiscard]] std::vector<configuration_fault> check_configuration(const configuration& base,
                                                                   const configuration& candidate);

/**
 * Parses, applies and checks a document in one step. The returned configuration is valid if
 * and only if `faults` is empty. Thread safe.
 */
[[nodiscard]] configuration evaluate_document(const configuration& base, std::string_view yaml,
                                              std::vector<configuration_fault>& faults);

} // namespace fulmarworks
