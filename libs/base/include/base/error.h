#pragma once

#include <boost/outcome.hpp>
#include <string>

namespace fulmarworks {

enum class error_kind {
    invalid_argument,
    not_found,
    conflict,
    unavailable,
    timed_out,
    malformed_data,
};

/** An error message for callers and operators, with a remedy. */
struct error {
    error_kind kind = error_kind::invalid_argument;
    std::string message;
    std::string remedy;
};

/** Holds either a value or an `error`. Access to the one that is absent terminates the process. */
template <class T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

/** Formats an error as "message; remedy" for logs and terminals. Thread safe. */
[[nodiscard]] std::string describe(const error& e);

} // namespace fulmarworks
