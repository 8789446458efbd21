#include "command_line.h"
#include "config_check/check.h"
#include "config_check/compare.h"
#include "platform/configuration_check.h"
#include "platform/documents.h"

#include <algorithm>
#include <iostream>

namespace fulmarworks {

namespace {

using namespace config_check;

std::size_t count(const findings& found, severity level) {
    return static_cast<std::size_t>(
        std::count_if(found.begin(), found.end(), [&](const auto& f) { return f.level == level; }));
}

void print_text(const findings& found, const std::vector<change>& changes) {
    for (const auto& f : found) {
        const auto text = platform::describe(f);
        std::cout << to_string(f.level) << " " << text.path << ": " << text.problem << "; "
                  << text.remedy << "\n";
    }
    for (const auto& c : changes) {
        std::cout << platform::describe(c) << "\n";
    }
    std::cout << count(found, severity::error) << " errors, " << count(found, severity::warning)
              << " warnings, " << count(found, severity::note) << " notes, " << changes.size()
              << " changes\n";
}

void print_json(const findings& found, const std::vector<change>& changes) {
    json list = json::array();
    for (const auto& f : found) {
        const auto text = platform::describe(f);
        list.push_back({{"severity", f.level},
                        {"path", text.path},
                        {"problem", text.problem},
                        {"remedy", text.remedy}});
    }
    json lines = json::array();
    for (const auto& c : changes) {
        lines.push_back(platform::describe(c));
    }
    std::cout << json{{"findings", list}, {"changes", lines}}.dump() << "\n";
}

/** Reads the version in force, which must be one that entry hosts accept. */
result<document> read_in_force(const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        return text.error();
    }
    if (const auto decoded = platform::decode_configuration(text.value()); !decoded) {
        return error{error_kind::malformed_data, path + " can't be in force: entry hosts refuse it",
                     "check it with --platform, and give the version in force to --against"};
    }
    return platform::read_configuration_document(text.value()).document;
}

} // namespace

exit_code run_check_platform(const arguments& args) {
    TCLAP::CmdLine command("Checks the operator's configuration document of the platform before it "
                           "is sent. Uses no network and prints no API key.",
                           ' ', program_version);
    TCLAP::ValueArg<std::string> file("", "platform", "Document to check", true, "", "FILE",
                                      command);
    TCLAP::ValueArg<std::string> against("", "against", "Version in force to compare with", false,
                                         "", "FILE", command);
    TCLAP::ValueArg<std::int64_t> accelerators(
        "", "accelerators", "Accelerators of all workers, at least the sum of guarantees", false, 0,
        "N", command);
    TCLAP::SwitchArg as_json("j", "json", "Print JSON", command);
    parse(command, args);
    if (accelerators.getValue() < 0) {
        return print_error({error_kind::invalid_argument, "--accelerators is negative",
                            "give the number of accelerators of all workers"});
    }
    const auto text = read_file(file.getValue());
    if (!text) {
        return print_error(text.error());
    }
    auto reading = platform::read_configuration_document(text.value());
    check_options options{{}, platform::max_payload_bytes};
    if (accelerators.isSet()) {
        options.accelerators = accelerators.getValue();
    }
    findings found = merge(std::move(reading.form), check(reading.document, options));
    std::vector<change> changes;
    if (against.isSet()) {
        const auto in_force = read_in_force(against.getValue());
        if (!in_force) {
            return print_error(in_force.error());
        }
        if (platform::decode_configuration(text.value())) {
            auto compared = compare(in_force.value(), reading.document);
            changes = std::move(compared.changes);
            found = merge(std::move(found), std::move(compared.version));
        } else {
            std::cerr << "not compared with " << against.getValue()
                      << ", as the document can't be read completely; correct the errors first\n";
        }
    }
    as_json.getValue() ? print_json(found, changes) : print_text(found, changes);
    if (count(found, severity::error) > 0) {
        return exit_code::check_errors;
    }
    return count(found, severity::warning) > 0 ? exit_code::check_warnings : exit_code::success;
}

} // namespace fulmarworks
