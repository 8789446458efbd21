#include "http/traffic_meter.h"

namespace fulmarworks {

traffic_counts& traffic_meter::of(std::string_view kind) {
    const auto found = counts_.find(kind);
    return found != counts_.end() ? found->second : counts_[std::string(kind)];
}

const std::map<std::string, traffic_counts, std::less<>>& traffic_meter::all() const {
    return counts_;
}

std::uint64_t traffic_meter::total_bytes() const {
    std::uint64_t total = 0;
    for (const auto& [kind, counts] : counts_) {
        total += counts.bytes_sent + counts.bytes_received;
    }
    return total;
}

} // namespace fulmarworks
