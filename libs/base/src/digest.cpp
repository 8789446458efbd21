#include "base/digest.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace fulmarworks {

std::uint64_t hash64(std::string_view data) {
    return XXH3_64bits(data.data(), data.size());
}

std::string digest(std::string_view data) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(hash64(data)));
    return text.data();
}

std::uint64_t combine_hashes(std::uint64_t a, std::uint64_t b) {
    const std::uint64_t both[2] = {a, b};
    return XXH3_64bits(both, sizeof both);
}

} // namespace fulmarworks
