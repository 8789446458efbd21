#include "object_reader.h"

#include <cmath>
#include <optional>
#include <span>

namespace fulmarworks {

namespace {

struct unit {
    const char* suffix;
    double factor;
};

constexpr unit duration_units[] = {{"ms", 1},
                                   {"s", milliseconds_per_second},
                                   {"m", milliseconds_per_minute},
                                   {"h", milliseconds_per_hour}};
constexpr unit memory_units[] = {{"GB", 1}, {"TB", 1024}};
constexpr double max_quantity = 1e12;

int line_of(const YAML::Node& node) {
    return node.IsDefined() ? node.Mark().line + 1 : 0;
}

std::optional<double> parse_quantity(const std::string& text, std::span<const unit> units) {
    std::size_t number_length = 0;
    double number = 0;
    try {
        number = std::stod(text, &number_length);
    } catch (const std::exception&) {
        return std::nullopt;
    }
    const std::string suffix = text.substr(number_length);
    for (const auto& candidate : units) {
        const double value = number * candidate.factor;
        if (suffix == candidate.suffix && value >= 0 && value < max_quantity) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace

object_reader::object_reader(const YAML::Node& node, std::string label,
                             std::vector<configuration_fault>& faults)
    : node_(node), label_(std::move(label)), faults_(faults) {
    if (!node_.IsMap()) {
        faults_.push_back({line_of(node_), label_ + " is not a mapping", "write key: value pairs"});
    }
}

YAML::Node object_reader::child(const char* key) {
    known_keys_.insert(key);
    if (!node_.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    // The non-const operator[] could change the node.
    const YAML::Node& const_node = node_;
    return const_node[key];
}

void object_reader::add_fault(const char* key, const std::string& message,
                              const std::string& remedy) {
    const YAML::Node at = child(key);
    const int line = at.IsDefined() ? line_of(at) : line_of(node_);
    faults_.push_back({line, label_ + ": " + key + " " + message, remedy});
}

template <class T>
void object_reader::read_scalar(const char* key, T& value, const char* type_name) {
    const YAML::Node found = child(key);
    if (!found.IsDefined()) {
        return;
    }
    try {
        value = found.as<T>();
    } catch (const YAML::Exception&) {
        add_fault(key, std::string("is not ") + type_name, std::string("write ") + type_name);
    }
}

void object_reader::read(const char* key, std::string& value, bool required) {
    read_scalar(key, value, "a text");
    if (required && value.empty()) {
        add_fault(key, "is missing", std::string("add '") + key + "'");
    }
}

void object_reader::read(const char* key, int& value) {
    read_scalar(key, value, "a whole number");
}

void object_reader::read(const char* key, bool& value) {
    read_scalar(key, value, "true or false");
}

void object_reader::read(const char* key, double& value) {
    read_scalar(key, value, "a number");
    if (!std::isfinite(value)) {
        value = 0;
        add_fault(key, "is not finite", "write a finite number");
    }
}

void object_reader::read_duration(const char* key, time_ms& value) {
    std::string text;
    read(key, text);
    if (text.empty()) {
        return;
    }
    if (const auto parsed = parse_quantity(text, duration_units)) {
        value = static_cast<time_ms>(*parsed);
    } else {
        add_fault(key, "has the wrong unit in '" + text + "'", "write 200ms, 1.9s, 5m or 2h");
    }
}

void object_reader::read_memory(const char* key, int& gigabytes) {
    std::string text;
    read(key, text);
    if (text.empty()) {
        return;
    }
    const auto parsed = parse_quantity(text, memory_units);
    if (parsed && *parsed < 1e6) {
        gigabytes = static_cast<int>(*parsed);
    } else {
        add_fault(key, "has the wrong unit in '" + text + "'", "write 256GB or 1TB");
    }
}

void object_reader::finish() {
    if (!node_.IsMap()) {
        return;
    }
    for (const auto& entry : node_) {
        const auto name = entry.first.IsScalar() ? entry.first.Scalar() : std::string("?");
        if (!known_keys_.contains(name)) {
            faults_.push_back({line_of(entry.first), label_ + ": unknown field '" + name + "'",
                               "remove it or correct its spelling"});
        }
    }
}

} // namespace fulmarworks
