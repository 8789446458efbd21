#include "pubsub_protocol.h"

namespace fulmarworks {

std::string encode_length(std::uint64_t bytes) {
    std::string text;
    for (int shift = 56; shift >= 0; shift -= 8) {
        text += static_cast<char>(bytes >> shift & 0xff);
    }
    return text;
}

std::uint64_t decode_length(std::string_view text) {
    std::uint64_t bytes = 0;
    for (const char c : text) {
        bytes = bytes << 8 | static_cast<unsigned char>(c);
    }
    return bytes;
}

} // namespace fulmarworks
