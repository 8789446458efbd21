#include "service/service_settings.h"

#include "http/http_server.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <yaml-cpp/yaml.h>

namespace fulmarworks {

namespace {

/** Reads a flat YAML mapping and appends its violations to `errors`. */
class settings_reader {
public:
    settings_reader(const YAML::Node& node, std::string& errors) : node_(node), errors_(errors) {}

    void text(const char* key, std::string& value, bool required) {
        read(key, value);
        if (required && value.empty()) {
            add_error(std::string(key) + " is missing");
        }
    }

    void address(const char* key, std::string& value) {
        text(key, value, true);
        if (!value.empty() && !parse_address(value)) {
            add_error(std::string(key) + " is not IP:PORT");
        }
    }

    template <class Number>
    void positive(const char* key, Number& value) {
        read(key, value);
        if (value <= 0) {
            add_error(std::string(key) + " must be above 0");
        }
    }

    /** Reads a number that must lie within both bounds. */
    template <class Number>
    void within(const char* key, Number& value, double low, double high) {
        read(key, value);
        if (static_cast<double>(value) < low || static_cast<double>(value) > high) {
            add_error(std::string(key) + " must be from " + std::to_string(std::llround(low)) +
                      " to " + std::to_string(std::llround(high)));
        }
    }

    void finish() {
        for (const auto& entry : node_) {
            const auto name = entry.first.as<std::string>();
            if (!known_keys_.contains(name)) {
                add_error("unknown setting '" + name + "'");
            }
        }
    }

private:
    template <class T>
    void read(const char* key, T& value) {
        known_keys_.insert(key);
        if (!node_[key].IsDefined()) {
            return;
        }
        try {
            value = node_[key].as<T>();
        } catch (const YAML::Exception&) {
            add_error(std::string(key) + " has the wrong type");
        }
    }

    void add_error(const std::string& message) {
        errors_ += errors_.empty() ? message : ", " + message;
    }

    const YAML::Node node_;
    std::string& errors_;
    std::set<std::string> known_keys_;
};

void read_limits(settings_reader& reader, instance_limits& limits) {
    reader.positive("max_pending_records", limits.max_pending_records);
    reader.positive("max_batch_records", limits.max_batch_records);
    reader.positive("urgent_append_interval_ms", limits.urgent_append_interval_ms);
    reader.positive("bulk_append_interval_ms", limits.bulk_append_interval_ms);
    reader.positive("append_timeout_ms", limits.append_timeout_ms);
    reader.positive("log_silence_ms", limits.log_silence_ms);
    reader.positive("worker_poll_wait_ms", limits.worker_poll_wait_ms);
    reader.positive("worker_timeout_ms", limits.worker_timeout_ms);
    reader.positive("worker_lease_ms", limits.worker_lease_ms);
    reader.positive("announce_interval_ms", limits.announce_interval_ms);
    reader.positive("peer_timeout_ms", limits.peer_timeout_ms);
    reader.positive("suspicion_timeout_ms", limits.suspicion_timeout_ms);
    reader.positive("shutdown_limit_ms", limits.shutdown_limit_ms);
    reader.positive("max_wait_ms", limits.max_wait_ms);
    reader.positive("max_waiting_callers", limits.max_waiting_callers);
    reader.positive("snapshot_interval_records", limits.snapshot_interval_records);
    reader.positive("snapshot_interval_ms", limits.snapshot_interval_ms);
    reader.positive("max_payload_bytes", limits.max_payload_bytes);
    reader.positive("max_body_bytes", limits.max_body_bytes);
}

/** Reads the limits of memory and descriptors. What isn't stated follows from `memory_mb` and
 * `max_open_files`. */
void read_resource_limits(settings_reader& reader, resource_limits& limits) {
    constexpr double max_memory_mb = 1024 * 1024;
    constexpr double max_open_files = 1024 * 1024;
    constexpr double bytes_per_mb = 1024 * 1024;
    reader.within("memory_mb", limits.memory_mb, 16, max_memory_mb);
    reader.within("max_open_files", limits.max_open_files, 64, max_open_files);
    limits.client_memory_mb = std::max<std::size_t>(limits.memory_mb / 4, 1);
    limits.max_connections = limits.max_open_files / 2;
    limits.max_peer_connections = limits.max_open_files / 16;
    reader.within("client_memory_mb", limits.client_memory_mb, 1,
                  static_cast<double>(limits.memory_mb) / 2);
    reader.within("max_head_bytes", limits.max_head_bytes, 1024,
                  static_cast<double>(limits.client_memory_mb) * bytes_per_mb / 4);
    reader.positive("transfer_timeout_ms", limits.transfer_timeout_ms);
    reader.within("max_connections", limits.max_connections, 1,
                  static_cast<double>(limits.max_open_files) / 2);
    reader.within("max_peer_connections", limits.max_peer_connections, 1,
                  static_cast<double>(limits.max_open_files) / 4);
}

void check_intervals(const instance_limits& limits, std::string& errors) {
    if (limits.worker_poll_wait_ms >= limits.worker_timeout_ms ||
        limits.worker_timeout_ms >= limits.worker_lease_ms) {
        errors += errors.empty() ? "" : ", ";
        errors += "worker_poll_wait_ms < worker_timeout_ms < worker_lease_ms must hold";
    }
}

} // namespace

result<service_settings> parse_service_settings(std::string_view yaml) {
    service_settings settings;
    std::string errors;
    try {
        const YAML::Node root = YAML::Load(std::string(yaml));
        if (!root.IsMap()) {
            return error{error_kind::invalid_argument, "the settings are not a mapping",
                         "write key: value pairs as in docs/OPERATORS.md"};
        }
        settings_reader reader(root, errors);
        reader.text("name", settings.instance.name, true);
        reader.text("failure_domain", settings.instance.failure_domain, true);
        reader.address("api_address", settings.instance.api_address);
        reader.address("peer_address", settings.instance.peer_address);
        reader.address("log_address", settings.log_address);
        reader.text("log_stream", settings.log_stream, true);
        reader.address("host_list_address", settings.host_list_address);
        read_limits(reader, settings.instance.limits);
        read_resource_limits(reader, settings.resources);
        reader.finish();
    } catch (const YAML::Exception& e) {
        return error{error_kind::invalid_argument,
                     std::string("the settings are not YAML: ") + e.what(), "correct the syntax"};
    }
    check_intervals(settings.instance.limits, errors);
    if (!errors.empty()) {
        return error{error_kind::invalid_argument, "faulty settings: " + errors,
                     "correct them as described in docs/OPERATORS.md"};
    }
    return settings;
}

} // namespace fulmarworks
