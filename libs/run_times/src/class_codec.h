#pragma once

#include "class_key.h"
#include "class_statistics.h"
#include "run_times/encoded_class.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace fulmarworks::run_times {

/**
 * Returns the key of a class in the store. It is a digest, because the store's page reads need keys
 * that are valid in a URL and shorter than 256 bytes.
 */
[[nodiscard]] std::string store_key(const class_key_view& key);

/** Encodes the statistics of a class. Times are stored as ages at `now_ms`. */
[[nodiscard]] encoded_class encode_class(const class_key& key, const class_statistics& c,
                                         time_ms now_ms);

/** Decodes a stored class whose ages refer to `now_ms`. Returns nothing for a malformed value, an
 * unknown layout version, and a key that doesn't belong to the value. */
[[nodiscard]] std::optional<std::pair<class_key, class_statistics>>
decode_class(std::string_view key, std::string_view value, time_ms now_ms);

} // namespace fulmarworks::run_times
