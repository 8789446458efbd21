#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarworks {

/** An enumerator and its name in records, settings and metrics. */
template <class Enum>
struct enum_name {
    Enum value;
    std::string_view name;
};

/** Specialised per enumeration with `static constexpr enum_name<Enum> names[]`. */
template <class Enum>
struct enum_names;

template <class Enum>
concept named_enum = requires {
    enum_names<Enum>::names;
};

/** Returns the name of `value`, or "invalid" for a value outside the enumeration. Thread safe. */
template <named_enum Enum>
[[nodiscard]] constexpr std::string_view to_string(Enum value) {
    for (const auto& entry : enum_names<Enum>::names) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return "invalid";
}

/** Returns the enumerator with this name, if there is one. Thread safe. */
template <named_enum Enum>
[[nodiscard]] constexpr std::optional<Enum> parse_enum(std::string_view name) {
    for (const auto& entry : enum_names<Enum>::names) {
        if (entry.name == name) {
            return entry.value;
        }
    }
    return std::nullopt;
}

} // namespace fulmarworks

namespace nlohmann {

template <fulmarworks::named_enum Enum>
struct adl_serializer<Enum> {
    static void to_json(json& j, Enum value) { j = std::string(fulmarworks::to_string(value)); }

    static void from_json(const json& j, Enum& value) {
        const auto parsed = fulmarworks::parse_enum<Enum>(j.get_ref<const std::string&>());
        if (!parsed) {
            throw json::other_error::create(501, "unknown enumerator " + j.dump(), &j);
        }
        value = *parsed;
    }
};

} // namespace nlohmann
