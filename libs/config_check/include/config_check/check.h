#pragma once

#include "config_check/document.h"
#include "config_check/finding.h"

namespace fulmarworks::config_check {

/** What the document is checked against. */
struct check_options {
    /** Accelerators of all workers; nothing if unknown. */
    std::optional<std::int64_t> accelerators;
    /** Size of the largest payload of a job. */
    std::size_t largest_payload_bytes = 0;
};

/**
 * Returns the entries of a decoded document that contradict each other, can't have an effect or
 * have unusual values, in no particular order. Handles a configuration before it is put into
 * force; costs O(n log n) of its entries. Pure; thread safe.
 */
[[nodiscard]] findings check(const document& d, const check_options& options);

/**
 * Returns the findings about a document's form and its content in the order of the document. Of the
 * content, leaves out values that could not be read, as the form's finding explains them. Pure;
 * thread safe.
 */
[[nodiscard]] findings merge(findings form, findings content);

} // namespace fulmarworks::config_check
