#include "client_ports.h"

#include "http/client_memory.h"

#include <algorithm>

namespace fulmarworks::node {

namespace {

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
constexpr time_ms log_interval_ms = 1000;
/** Time for which a connection stays open between requests. */
constexpr time_ms idle_timeout_ms = 60 * milliseconds_per_second;
/** A platform has few probes of one host. */
constexpr std::size_t max_probe_connections = 64;
constexpr std::size_t min_probe_connections = 8;
/** Share of the descriptors for probes, 1/32. */
constexpr std::size_t probe_descriptors_part = 32;
/** A probe has no body. */
constexpr std::uint64_t max_probe_body_bytes = 4096;
/** Largest body of a call between entry hosts: an encoded submission, or a batch of starts. */
constexpr std::uint64_t max_internal_body_bytes = 256 * std::uint64_t{1024};

std::string_view name_of(client_port port) {
    switch (port) {
    case client_port::callers: return "callers";
    case client_port::readiness: return "readiness";
    case client_port::internal: return "internal";
    }
    return "invalid";
}

} // namespace

client_ports::client_ports(const resource_limits& limits, decision_log& log, metrics& counters)
    : limits_(limits), log_(log), counters_(counters),
      memory_(std::make_shared<client_memory>(limits.client_memory_mb * bytes_per_mb)) {}

http_server::Builder client_ports::builder(client_port port) {
    http_server::Builder server;
    server.idle_timeout_ms(idle_timeout_ms)
        .transfer_timeout_ms(limits_.transfer_timeout_ms)
        .max_head_bytes(limits_.max_head_bytes)
        .max_open_requests(limits_.max_open_calls)
        .max_connections(limits_.max_connections)
        .memory(memory_)
        .on_limit([this, port](client_limit limit) { record(port, limit); });
    switch (port) {
    case client_port::callers: server.max_body_bytes(limits_.max_body_bytes); break;
    case client_port::internal: server.max_body_bytes(max_internal_body_bytes); break;
    case client_port::readiness:
        server.max_body_bytes(max_probe_body_bytes)
            .max_connections(std::clamp(limits_.max_open_files / probe_descriptors_part,
                                        min_probe_connections, max_probe_connections));
        break;
    }
    return server;
}

void client_ports::record(client_port port, client_limit limit) {
    const std::string label =
        std::string(name_of(port)) + "." + std::string(fulmarworks::name_of(limit));
    counters_.count("client_limits_total", "limit", label);
    ++unlogged_[{port, limit}];
}

void client_ports::log_applied_limits(time_ms now_ms) {
    if (unlogged_.empty() || now_ms - logged_at_ms_ < log_interval_ms) {
        return;
    }
    logged_at_ms_ = now_ms;
    for (const auto& [what, count] : unlogged_) {
        log_.write("client_limit", "port=" + std::string(name_of(what.first)) +
                                       " limit=" + std::string(fulmarworks::name_of(what.second)) +
                                       " count=" + std::to_string(count) +
                                       " client_memory=" + std::to_string(memory_->used_bytes()));
    }
    unlogged_.clear();
}

void client_ports::export_memory() const {
    counters_.set("client_memory_bytes", static_cast<double>(memory_->used_bytes()));
    counters_.set("client_memory_limit_bytes", static_cast<double>(memory_->limit_bytes()));
}

} // namespace fulmarworks::node
