#pragma once

#include "model/configuration_document.h"

#include <set>
#include <string>
#include <yaml-cpp/yaml.h>

namespace fulmarworks {

/**
 * Reads the fields of one YAML mapping and lists errors with their lines. `finish` adds
 * an error for each field that was not read. Not thread safe.
 */
class object_reader {
public:
    object_reader(const YAML::Node& node, std::string label,
                  std::vector<configuration_fault>& faults);

    void read(const char* key, std::string& value, bool required = false);
    void read(const char* key, int& value);
    void read(const char* key, double& value);
    void read(const char* key, bool& value);

    /** Reads a duration with a unit, such as 200ms, 1.9s, 5m or 2h. */
    void read_duration(const char* key, time_ms& value);

    /** Reads an amount of memory with a unit, such as 256GB or 1TB. */
    void read_memory(const char* key, int& gigabytes);

    template <named_enum Enum>
    void read_enum(const char* key, Enum& value) {
        std::string name;
        read(key, name);
        if (name.empty()) {
            return;
        }
        const auto parsed = parse_enum<Enum>(name);
        if (parsed) {
            value = *parsed;
            return;
        }
        std::string known;
        for (const auto& entry : enum_names<Enum>::names) {
            known += known.empty() ? "" : ", ";
            known += entry.name;
        }
        add_fault(key, "has the unknown value '" + name + "'", "use one of: " + known);
    }

    /** Returns the node of a field and marks the field as known; undefined if absent. */
    YAML::Node child(const char* key);

    void add_fault(const char* key, const std::string& message, const std::string& remedy);

    /** Reports all fields that were not read as unknown fields. */
    void finish();

private:
    template <class T>
    void read_scalar(const char* key, T& value, const char* type_name);

    YAML::Node node_;
    std::string label_;
    std::vector<configuration_fault>& faults_;
    std::set<std::string> known_keys_;
};

} // namespace fulmarworks
