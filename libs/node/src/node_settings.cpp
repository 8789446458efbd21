#include "node/node_settings.h"

#include "http/http_server.h"
#include "member_entry.h"

#include <cmath>
#include <yaml-cpp/yaml.h>

namespace fulmarworks::node {

namespace {

/** One year; a longer duration is taken for a wrong unit. */
constexpr double max_duration_s = 366.0 * 24 * 3600;

/** Faster than any host's link; a larger number is taken for a wrong unit. */
constexpr double max_link_mbps = 1e6;

/** Reads the keys of a YAML mapping and collects an error for each invalid value. */
class settings_reader {
public:
    explicit settings_reader(const YAML::Node& root) : root_(root) {}

    void text(const char* key, std::string& value) {
        read(key, value);
        if (value.empty()) {
            add_error(key, "is missing");
        }
    }

    void address(const char* key, std::string& value) {
        text(key, value);
        if (!value.empty() && !parse_address(value)) {
            add_error(key, "is not IP:PORT");
        }
    }

    template <class Number>
    void positive(const char* key, Number& value) {
        read(key, value);
        if (!(value > 0)) {
            add_error(key, "must be above 0");
        }
    }

    void at_most(const char* key, double value, double limit) {
        if (value > limit) {
            const std::string problem = "must be at most " + std::to_string(std::lround(limit));
            add_error(key, problem.c_str());
        }
    }

    void at_least(const char* key, double value, double limit) {
        if (value < limit) {
            const std::string problem = "must be at least " + std::to_string(std::lround(limit));
            add_error(key, problem.c_str());
        }
    }

    void within(const char* key, double value, double low, double high) {
        at_least(key, value, low);
        at_most(key, value, high);
    }

    void seconds(const char* key, time_ms& value) {
        double in_seconds = static_cast<double>(value) / milliseconds_per_second;
        positive(key, in_seconds);
        if (in_seconds > max_duration_s) {
            add_error(key, "must be at most a year");
        } else if (in_seconds > 0) {
            value = static_cast<time_ms>(in_seconds * milliseconds_per_second);
        }
    }

    void boolean(const char* key, bool& value) { read(key, value); }

    [[nodiscard]] const std::string& errors() const { return errors_; }

private:
    template <class T>
    void read(const char* key, T& value) {
        const YAML::Node node = root_[key];
        if (!node.IsDefined() || node.IsNull()) {
            return;
        }
        try {
            value = node.as<T>();
        } catch (const YAML::Exception&) {
            add_error(key, "has the wrong type");
        }
    }

    void add_error(const char* key, const char* what) {
        errors_ += errors_.empty() ? "" : ", ";
        errors_ += std::string(key) + " " + what;
    }

    const YAML::Node& root_;
    std::string errors_;
};

/** Reads the limits of memory and descriptors. What a setting doesn't state follows from
 * `memory_mb` and `max_open_files`. */
resource_limits read_resource_limits(settings_reader& r) {
    constexpr double min_memory_mb = 16;
    constexpr double max_memory_mb = 1024 * 1024;
    constexpr double min_open_files = 64;
    constexpr double max_open_files = 1024 * 1024;
    constexpr double bytes_per_mb = 1024 * 1024;
    resource_limits stated;
    r.positive("memory_mb", stated.memory_mb);
    r.within("memory_mb", static_cast<double>(stated.memory_mb), min_memory_mb, max_memory_mb);
    r.positive("max_open_files", stated.max_open_files);
    r.within("max_open_files", static_cast<double>(stated.max_open_files), min_open_files,
             max_open_files);
    resource_limits limits = make_resource_limits(stated.memory_mb, stated.max_open_files);
    r.positive("client_memory_mb", limits.client_memory_mb);
    r.at_most("client_memory_mb", static_cast<double>(limits.client_memory_mb),
              static_cast<double>(limits.memory_mb) / 2);
    r.positive("job_memory_mb", limits.job_memory_mb);
    r.at_most("job_memory_mb", static_cast<double>(limits.job_memory_mb),
              static_cast<double>(limits.memory_mb) / 2);
    const double client_bytes = static_cast<double>(limits.client_memory_mb) * bytes_per_mb;
    r.positive("max_head_bytes", limits.max_head_bytes);
    r.within("max_head_bytes", static_cast<double>(limits.max_head_bytes), 1024, client_bytes / 4);
    r.positive("max_body_bytes", limits.max_body_bytes);
    r.at_most("max_body_bytes", static_cast<double>(limits.max_body_bytes), client_bytes / 4);
    r.positive("transfer_timeout_ms", limits.transfer_timeout_ms);
    const double descriptors = static_cast<double>(limits.max_open_files);
    r.positive("max_connections", limits.max_connections);
    r.at_most("max_connections", static_cast<double>(limits.max_connections), descriptors / 4);
    r.positive("max_open_calls", limits.max_open_calls);
    r.at_most("max_open_calls", static_cast<double>(limits.max_open_calls), descriptors / 8);
    return limits;
}

} // namespace

std::string node_settings::internal_address() const {
    return ip + ":" + std::to_string(internal_port);
}

result<node_settings> parse_node_settings(std::string_view yaml) {
    YAML::Node root;
    try {
        root = YAML::Load(std::string(yaml));
    } catch (const YAML::Exception& e) {
        return error{error_kind::malformed_data,
                     std::string("the settings are not YAML: ") + e.what(),
                     "correct the YAML at the stated line"};
    }
    if (!root.IsMap()) {
        return error{error_kind::malformed_data, "the settings are not a mapping",
                     "use one key: value per line"};
    }
    node_settings s;
    settings_reader r(root);
    r.text("name", s.name);
    r.text("failure_domain", s.failure_domain);
    r.text("ip", s.ip);
    r.address("caller_address", s.caller_address);
    r.address("readiness_address", s.readiness_address);
    r.address("store_address", s.store_address);
    r.positive("internal_port", s.internal_port);
    r.positive("store_partitions", s.store_partitions);
    r.positive("cpu_share", s.cpu_share);
    r.at_most("cpu_share", s.cpu_share, max_cpu_share);
    r.positive("link_mbps", s.link_mbps);
    r.at_most("link_mbps", s.link_mbps, max_link_mbps);
    r.seconds("stop_grace_s", s.stop_grace_ms);
    r.positive("configuration_bound_ms", s.configuration_bound_ms);
    r.positive("max_lease_ms", s.limits.max_lease_ms);
    r.positive("drain_bound_ms", s.limits.drain_bound_ms);
    r.positive("heartbeat_ms", s.limits.heartbeat_ms);
    r.positive("stop_timeout_ms", s.limits.stop_timeout_ms);
    r.positive("reclaim_ms", s.limits.reclaim_ms);
    r.positive("remote_factor", s.limits.remote_factor);
    r.seconds("status_retention_s", s.limits.status_retention_ms);
    s.resources = read_resource_limits(r);
    r.boolean("learned_run_times", s.limits.learned_run_times);
    r.boolean("learned_worker_speeds", s.limits.learned_worker_speeds);
    if (!r.errors().empty()) {
        return error{error_kind::invalid_argument, "settings: " + r.errors(),
                     "correct the settings file; docs/OPERATORS.md lists the keys"};
    }
    return s;
}

} // namespace fulmarworks::node
