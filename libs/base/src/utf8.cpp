#include "base/utf8.h"

#include <algorithm>
#include <cstdint>

namespace fulmarworks {

namespace {

constexpr std::string_view replacement_character = "\xef\xbf\xbd";

/** Lengths of sequences by their first byte, and the least code point of each length. */
struct sequence_form {
    unsigned char mask = 0;
    unsigned char lead = 0;
    std::uint32_t least = 0;
};

constexpr sequence_form forms[] = {
    {0x80, 0x00, 0}, {0xe0, 0xc0, 0x80}, {0xf0, 0xe0, 0x800}, {0xf8, 0xf0, 0x10000}};

bool is_scalar_value(std::uint32_t code_point) {
    constexpr std::uint32_t last = 0x10ffff;
    constexpr std::uint32_t first_surrogate = 0xd800;
    constexpr std::uint32_t last_surrogate = 0xdfff;
    return code_point <= last && (code_point < first_surrogate || code_point > last_surrogate);
}

/** Returns the length of the sequence at the start of `text`, or 0 if it is malformed. */
std::size_t sequence_length(std::string_view text) {
    const auto first = static_cast<unsigned char>(text[0]);
    for (std::size_t i = 0; i < std::size(forms); ++i) {
        if ((first & forms[i].mask) != forms[i].lead) {
            continue;
        }
        if (text.size() <= i) {
            return 0;
        }
        std::uint32_t code_point = first & static_cast<unsigned char>(~forms[i].mask);
        for (std::size_t k = 1; k <= i; ++k) {
            const auto next = static_cast<unsigned char>(text[k]);
            if ((next & 0xc0U) != 0x80U) {
                return 0;
            }
            code_point = code_point << 6U | (next & 0x3fU);
        }
        return code_point >= forms[i].least && is_scalar_value(code_point) ? i + 1 : 0;
    }
    return 0;
}

} // namespace

bool is_utf8(std::string_view text) {
    while (!text.empty()) {
        const std::size_t length = sequence_length(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

std::string replace_invalid_utf8(std::string_view text) {
    std::string valid;
    valid.reserve(text.size());
    while (!text.empty()) {
        const std::size_t length = sequence_length(text);
        valid += length == 0 ? replacement_character : text.substr(0, length);
        text.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return valid;
}

} // namespace fulmarworks
