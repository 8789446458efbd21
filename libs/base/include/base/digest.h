#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarworks {

/** Returns the 64-bit xxHash3 of `data`, the same on all hosts and in all versions. Thread safe. */
[[nodiscard]] std::uint64_t hash64(std::string_view data);

/** Returns `hash64(data)` as 16 hexadecimal digits. Thread safe. */
[[nodiscard]] std::string digest(std::string_view data);

/** Combines two hashes into one, for rendezvous hashing. Thread safe. */
[[nodiscard]] std::uint64_t combine_hashes(std::uint64_t a, std::uint64_t b);

} // namespace fulmarworks
