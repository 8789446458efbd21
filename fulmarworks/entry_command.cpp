#include "base/allocator.h"
#include "command_line.h"
#include "node/entry_node.h"

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <string_view>

namespace fulmarworks {

namespace {

/** Environment variable with the path of the settings file; `--settings` overrides it. */
constexpr const char* settings_path_variable = "FULMARWORKS_CONFIG";
/** Environment variable that overrides `drain_bound_ms` of the settings file. */
constexpr const char* drain_bound_variable = "DRAIN_BOUND_MS";

result<bool> apply_environment(node::node_settings& settings) {
    const char* text = std::getenv(drain_bound_variable);
    if (text == nullptr) {
        return true;
    }
    const std::string_view value = text;
    const auto parsed =
        std::from_chars(value.data(), value.data() + value.size(), settings.limits.drain_bound_ms);
    if (parsed.ec != std::errc() || parsed.ptr != value.data() + value.size() ||
        settings.limits.drain_bound_ms <= 0) {
        return error{error_kind::invalid_argument,
                     std::string(drain_bound_variable) + " is not a number above 0",
                     "set it to whole milliseconds, or leave it unset"};
    }
    return true;
}

result<node::node_settings> load_settings(const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        return text.error();
    }
    auto settings = node::parse_node_settings(text.value());
    if (settings) {
        if (const auto applied = apply_environment(settings.value()); !applied) {
            return applied.error();
        }
    }
    return settings;
}

} // namespace

exit_code run_entry(const arguments& args) {
    TCLAP::CmdLine command("Runs an entry host on the platform.", ' ', program_version);
    const char* from_environment = std::getenv(settings_path_variable);
    TCLAP::ValueArg<std::string> settings_file("s", "settings", "Settings of this process", false,
                                               from_environment == nullptr ? "" : from_environment,
                                               "FILE", command);
    parse(command, args);
    const auto settings = load_settings(settings_file.getValue());
    if (!settings) {
        return print_error(settings.error());
    }
    return_large_blocks();
    event_loop loop;
    const auto node = node::entry_node::start(loop, settings.value());
    if (!node) {
        print_error(node.error());
        return exit_code::unavailable;
    }
    loop.on_signal(SIGTERM, [&] { node.value()->shut_down(); });
    loop.on_signal(SIGINT, [&] { node.value()->shut_down(); });
    loop.on_signal(SIGHUP, [&] {
        const auto changed = load_settings(settings_file.getValue());
        if (changed) {
            node.value()->reload(changed.value());
        } else {
            print_error(changed.error());
        }
    });
    loop.run();
    return exit_code::success;
}

} // namespace fulmarworks
