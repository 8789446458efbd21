#pragma once

#include "base/error.h"

#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

/** Defines the JSON conversion of a struct. A member that is missing in JSON keeps its default. */
#define FULMARWORKS_JSON(...) NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(__VA_ARGS__)

namespace fulmarworks {

using json = nlohmann::json;

/** Maximum nesting depth of untrusted JSON. */
inline constexpr int max_json_depth = 32;

/** Parses untrusted JSON. Never throws. Thread safe. */
[[nodiscard]] result<json> parse_json(std::string_view text);

/**
 * Parses untrusted MessagePack, up to `max_json_depth` like JSON. Texts must be UTF-8, as others
 * can't be written as JSON. Never throws. Thread safe.
 */
[[nodiscard]] result<json> parse_msgpack(std::string_view bytes);

/**
 * Converts a number to the integer type `T`, truncating a fraction. Throws `json::exception` for
 * another JSON type and for a number out of the range of `T`, for which the conversion of the JSON
 * library would yield an arbitrary value. Thread safe.
 */
template <std::integral T>
[[nodiscard]] T integer_from_json(const json& j) {
    constexpr int out_of_range_id = 406;
    bool in_range = true;
    if (j.is_number_float()) {
        const double value = j.get<double>();
        in_range = value >= static_cast<double>(std::numeric_limits<T>::lowest()) &&
                   value < static_cast<double>(std::numeric_limits<T>::max());
    } else if (j.is_number_unsigned()) {
        in_range = std::in_range<T>(j.get<std::uint64_t>());
    } else if (j.is_number_integer()) {
        in_range = std::in_range<T>(j.get<std::int64_t>());
    }
    if (!in_range) {
        throw json::out_of_range::create(out_of_range_id, "number out of range", &j);
    }
    return j.get<T>();
}

/**
 * Converts `j` to `T`. Integers, including those in lists, are range checked by
 * `integer_from_json`. Throws `json::exception` for a value of another type. Thread safe.
 */
template <class T>
[[nodiscard]] T value_from_json(const json& j) {
    if constexpr (std::integral<T> && !std::same_as<T, bool>) {
        return integer_from_json<T>(j);
    } else if constexpr (requires(T list) {
                             list.push_back(integer_from_json<typename T::value_type>(j));
                         } &&
                         !std::same_as<T, std::string>) {
        T list;
        for (const json& element : j) {
            list.push_back(integer_from_json<typename T::value_type>(element));
        }
        return list;
    } else {
        return j.get<T>();
    }
}

/**
 * Converts an object to `T`. Returns an error for a member of the wrong type. Never throws. Thread
 * safe.
 */
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
