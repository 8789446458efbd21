#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmarworks {

/** The scalability protocols PUB and SUB over TCP: nanomsg RFC "sp-tcp-mapping-01". A connection
 * begins with a greeting of each side; messages follow, each after its length. */

inline constexpr std::size_t greeting_bytes = 8;
inline constexpr std::string_view publisher_greeting("\0SP\0\0\x20\0\0", greeting_bytes);
inline constexpr std::string_view subscriber_greeting("\0SP\0\0\x21\0\0", greeting_bytes);
inline constexpr std::size_t length_bytes = 8;

/** Returns a message's length as 64 bits, big-endian. Thread safe. */
[[nodiscard]] std::string encode_length(std::uint64_t bytes);

/** Returns the length that `encode_length` encoded. Precondition: `text` has `length_bytes` bytes.
 * Thread safe. */
[[nodiscard]] std::uint64_t decode_length(std::string_view text);

} // namespace fulmarworks
