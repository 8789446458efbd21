#include "load_shedding.h"

#include <algorithm>
#include <tuple>

namespace fulmarworks {

namespace {

/** Order in which the phases are given up for a new connection. */
int slot_rank(connection_phase phase) {
    switch (phase) {
    case connection_phase::closing: return 0;
    case connection_phase::idle: return 1;
    case connection_phase::receiving:
    case connection_phase::sending: return 2;
    case connection_phase::processing: return 3;
    }
    return 3;
}

double byte_time(const connection_load& load, time_ms now_ms) {
    const time_ms age_ms = std::max<time_ms>(now_ms - load.since_ms, 0) + 1;
    return static_cast<double>(load.bytes) * static_cast<double>(age_ms);
}

} // namespace

std::vector<std::size_t> choose_for_memory(std::span<const connection_load> loads,
                                           std::size_t excess_bytes, time_ms now_ms) {
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        if (loads[i].phase != connection_phase::processing) {
            order.push_back(i);
        }
    }
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return byte_time(loads[a], now_ms) > byte_time(loads[b], now_ms);
    });
    std::size_t released = 0;
    const auto end = std::find_if(order.begin(), order.end(), [&](std::size_t i) {
        if (released >= excess_bytes) {
            return true;
        }
        released += loads[i].bytes;
        return false;
    });
    order.erase(end, order.end());
    return order;
}

std::optional<std::size_t> choose_for_slot(std::span<const connection_load> loads) {
    const auto rank = [](const connection_load& load) {
        return std::tuple(slot_rank(load.phase), load.since_ms);
    };
    const auto first =
        std::min_element(loads.begin(), loads.end(),
                         [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    if (first == loads.end() || first->phase == connection_phase::processing) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(first - loads.begin());
}

} // namespace fulmarworks
