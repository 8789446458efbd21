#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace fulmarworks::run_times {

/** Which members of a run class distinguish the classes of a level. */
enum class class_level : std::uint8_t {
    queue = 1,
    accelerators = 2, // queue and accelerators
    account = 3,      // queue, account and accelerators
};

/** Identity of a class without its own storage. Members that the level leaves out are empty. */
struct class_key_view {
    class_level level = class_level::queue;
    std::string_view queue;
    std::string_view account;
    std::uint32_t accelerators = 0;

    friend bool operator==(const class_key_view&, const class_key_view&) = default;
};

/** Identity of a class. */
struct class_key {
    class_level level = class_level::queue;
    std::string queue;
    std::string account;
    std::uint32_t accelerators = 0;

    operator class_key_view() const { return {level, queue, account, accelerators}; }
};

/** Hash of keys and views of keys, for lookups without a copy of the names. */
struct class_key_hash {
    using is_transparent = void;
    std::size_t operator()(const class_key_view& k) const {
        constexpr std::size_t multiplier = 0x9e3779b97f4a7c15U;
        const std::hash<std::string_view> hash_text;
        std::size_t hash = hash_text(k.queue) * multiplier + hash_text(k.account);
        hash = hash * multiplier + k.accelerators;
        return hash * multiplier + static_cast<std::size_t>(k.level);
    }
};

struct class_key_equal {
    using is_transparent = void;
    bool operator()(const class_key_view& a, const class_key_view& b) const { return a == b; }
};

} // namespace fulmarworks::run_times
