#include "model/configuration.h"

#include <array>
#include <cstdio>

namespace fulmarworks {

std::string host_name(std::string_view rack, int index) {
    std::array<char, 16> suffix{};
    std::snprintf(suffix.data(), suffix.size(), "-h%02d", index + 1);
    return std::string(rack) + suffix.data();
}

promised_shape largest_promised(const configuration& config) {
    promised_shape largest;
    for (const auto& g : config.guarantees) {
        if (g.hosts * g.accelerators_per_host > largest.total()) {
            largest = {g.hosts, g.accelerators_per_host};
        }
    }
    return largest;
}

} // namespace fulmarworks
