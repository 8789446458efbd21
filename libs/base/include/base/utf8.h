#pragma once

#include <string>
#include <string_view>

namespace fulmarworks {

/** Returns whether `text` is well-formed UTF-8 as of RFC 3629. Thread safe. */
[[nodiscard]] bool is_utf8(std::string_view text);

/** Returns `text` with each byte that isn't part of well-formed UTF-8 replaced by U+FFFD. Thread
 * safe. */
[[nodiscard]] std::string replace_invalid_utf8(std::string_view text);

} // namespace fulmarworks
