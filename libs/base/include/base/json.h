#pragma once

#include "base/error.h"

#include <nlohmann/json.hpp>
#include <string_view>

/** Defines JSON conversion of a struct; a missing member keeps its default. */
#define FULMARWORKS_JSON(...) NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(__VA_ARGS__)

namespace fulmarworks {

using json = nlohmann::json;

/** Deepest nesting of a JSON text that is accepted from outside. */
inline constexpr int max_json_depth = 32;

/** Parses JSON that came from outside; never throws. Thread safe. */
[[nodiscard]] result<json> parse_json(std::string_view text);

/** Converts `j` to `T`; a member of the wrong type is an error. Never throws. Thread safe. */
template <class T>
[[nodiscard]] result<T> decode_json(const json& j) {
    if (!j.is_object()) {
        return error{error_kind::malformed_data, "expected a JSON object", "send an object"};
    }
    try {
        return j.get<T>();
    } catch (const json::exception& e) {
        return error{error_kind::malformed_data, std::string("wrong field: ") + e.what(),
                     "compare the fields with docs/API.md or docs/PLATFORM.md"};
    }
}

} // namespace fulmarworks
