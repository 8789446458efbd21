#include "traffic_report.h"

namespace fulmarworks::node {

void log_traffic(const traffic_meter& traffic, decision_log& log) {
    for (const auto& [kind, counts] : traffic.all()) {
        log.write("traffic", "kind=" + kind + " calls=" + std::to_string(counts.calls) +
                                 " connections=" + std::to_string(counts.connections_opened) +
                                 " sent_bytes=" + std::to_string(counts.bytes_sent) +
                                 " received_bytes=" + std::to_string(counts.bytes_received));
    }
}

void export_traffic(const traffic_meter& traffic, metrics& counters) {
    for (const auto& [kind, counts] : traffic.all()) {
        counters.set("traffic_calls_" + kind, static_cast<double>(counts.calls));
        counters.set("traffic_connections_" + kind, static_cast<double>(counts.connections_opened));
        counters.set("traffic_sent_bytes_" + kind, static_cast<double>(counts.bytes_sent));
        counters.set("traffic_received_bytes_" + kind, static_cast<double>(counts.bytes_received));
    }
}

} // namespace fulmarworks::node
