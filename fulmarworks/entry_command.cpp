#include "command_line.h"
#include "node/entry_node.h"

#include <csignal>
#include <cstdlib>

namespace fulmarworks {

namespace {

/** Environment variable with the path of the settings file; `--settings` overrides it. */
constexpr const char* settings_path_variable = "FULMARWORKS_CONFIG";

result<node::node_settings> load_settings(const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        return text.error();
    }
    return node::parse_node_settings(text.value());
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
