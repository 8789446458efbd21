#include "request_parser.h"

#include <algorithm>
#include <set>

namespace fulmarworks {

namespace {

constexpr std::size_t max_identifier_length = 128;
constexpr int max_tasks = 4096;
constexpr int max_accelerators = 64;
constexpr int max_cores = 65536;
constexpr int max_memory_gb = 1 << 20;
constexpr time_ms max_declared_ms = 366 * 24 * milliseconds_per_hour;

error invalid(std::string message, std::string remedy) {
    return {error_kind::invalid_argument, std::move(message), std::move(remedy)};
}

/** Reads the fields of one JSON object and keeps the first error. */
class field_reader {
public:
    explicit field_reader(const json& object) : object_(object) {}

    std::string text(const char* key, bool required) {
        const json* value = find(key, required);
        if (value == nullptr) {
            return "";
        }
        if (!value->is_string()) {
            fail(std::string(key) + " is not a text");
            return "";
        }
        return value->get<std::string>();
    }

    std::int64_t number(const char* key, std::int64_t fallback, std::int64_t low,
                        std::int64_t high) {
        const json* value = find(key, false);
        if (value == nullptr) {
            return fallback;
        }
        // Compares as double because an unsigned value above the signed range would wrap.
        const bool whole = value->is_number_integer();
        const double wide = whole ? value->get<double>() : 0;
        if (!whole || wide < static_cast<double>(low) || wide > static_cast<double>(high)) {
            fail(std::string(key) + " is not a whole number from " + std::to_string(low) + " to " +
                 std::to_string(high));
            return fallback;
        }
        return value->get<std::int64_t>();
    }

    std::optional<error> finish() {
        for (const auto& [key, value] : object_.items()) {
            if (!known_keys_.contains(key)) {
                fail("unknown field '" + key + "'");
            }
        }
        return first_error_.empty()
                   ? std::nullopt
                   : std::optional(invalid(first_error_, "correct it as in docs/API.md"));
    }

    void fail(const std::string& failure) {
        if (first_error_.empty()) {
            first_error_ = failure;
        }
    }

private:
    const json* find(const char* key, bool required) {
        known_keys_.insert(key);
        const auto found = object_.find(key);
        if (found == object_.end()) {
            if (required) {
                fail(std::string(key) + " is missing");
            }
            return nullptr;
        }
        return &*found;
    }

    const json& object_;
    std::set<std::string> known_keys_;
    std::string first_error_;
};

result<json> parse_object(std::string_view body) {
    auto parsed = parse_json(body);
    if (!parsed) {
        return parsed.error();
    }
    if (!parsed.value().is_object()) {
        return invalid("the body is not an object", "send a JSON object");
    }
    return parsed;
}

} // namespace

bool is_identifier(std::string_view text) {
    const auto allowed = [](char ch) {
        return (ch >= 'a' && ch <= 'z') || (ch >= 'A' && ch <= 'Z') || (ch >= '0' && ch <= '9') ||
               ch == '.' || ch == '_' || ch == ':' || ch == '-';
    };
    return !text.empty() && text.size() <= max_identifier_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

result<parsed_submission> parse_submission(std::string_view body, time_ms now,
                                           const instance_limits& limits) {
    const auto object = parse_object(body);
    if (!object) {
        return object.error();
    }
    field_reader reader(object.value());
    parsed_submission parsed;
    job_request& r = parsed.request;
    r.client_account = reader.text("client_account", true);
    r.request_id = reader.text("request_id", true);
    r.job_class = reader.text("job_class", true);
    r.payload = reader.text("payload", false);
    r.tasks = static_cast<int>(reader.number("tasks", 1, 1, max_tasks));
    r.shape.accelerators = static_cast<int>(reader.number("accelerators", 0, 0, max_accelerators));
    r.shape.cores = static_cast<int>(reader.number("cores", 1, 0, max_cores));
    r.shape.memory_gb = static_cast<int>(reader.number("memory_gb", 1, 0, max_memory_gb));
    r.declared_ms = reader.number("declared_ms", 0, 0, max_declared_ms);
    r.issued_at = reader.number("issued_at", now, 0, now + milliseconds_per_hour);
    parsed.wait_ms = reader.number("wait_ms", 0, 0, max_declared_ms);
    if (!is_identifier(r.client_account) || !is_identifier(r.request_id)) {
        reader.fail("client_account or request_id has characters that are not allowed");
    }
    if (r.payload.size() > limits.max_payload_bytes) {
        reader.fail("payload is larger than " + std::to_string(limits.max_payload_bytes) +
                    " bytes");
    }
    if (const auto failure = reader.finish()) {
        return *failure;
    }
    return parsed;
}

result<parsed_publish> parse_publish(std::string_view body) {
    const auto object = parse_object(body);
    if (!object) {
        return object.error();
    }
    field_reader reader(object.value());
    parsed_publish parsed;
    parsed.publish_id = reader.text("publish_id", true);
    constexpr std::int64_t max_version = std::int64_t{1} << 52;
    parsed.based_on = static_cast<std::uint64_t>(reader.number("based_on", 0, 0, max_version));
    parsed.document = reader.text("document", true);
    if (!is_identifier(parsed.publish_id)) {
        reader.fail("publish_id has characters that are not allowed");
    }
    if (const auto failure = reader.finish()) {
        return *failure;
    }
    return parsed;
}

} // namespace fulmarworks
