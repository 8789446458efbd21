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

/** An error that a person can act on: what is wrong and what to do about it. */
struct error {
    error_kind kind = error_kind::invalid_argument;
    std::string message;
    std::string remedy;
};

/** Holds either a value or an `error`. Observing the wrong one terminates the process. */
template <class T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

/** Returns "message; remedy" for logs and terminals. Thread safe. */
[[nodiscard]] std::string describe(const error& e);

} // namespace fulmarworks
