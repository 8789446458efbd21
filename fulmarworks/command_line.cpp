#include "command_line.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace fulmarworks {

client_options::client_options(TCLAP::CmdLine& command)
    : address_("a", "address", "Instance to call; may be repeated", false, "IP:PORT", command),
      json_("j", "json", "Print JSON", command) {}

std::vector<std::string> client_options::addresses() const {
    const auto given = address_.getValue();
    return given.empty() ? std::vector<std::string>{"127.0.0.1:8080"} : given;
}

bool client_options::json_output() const {
    return json_.getValue();
}

void parse(TCLAP::CmdLine& command, const arguments& args) {
    arguments copy = args;
    command.setExceptionHandling(false);
    try {
        command.parse(copy);
    } catch (const TCLAP::ArgException& e) {
        std::cerr << e.argId() << ": " << e.error() << "; see --help\n";
        std::exit(static_cast<int>(exit_code::usage));
    } catch (const TCLAP::ExitException& e) {
        std::exit(e.getExitStatus() == 0 ? 0 : static_cast<int>(exit_code::usage));
    }
}

result<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return error{error_kind::not_found, "cannot read " + path, "check the path"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

exit_code print_error(const error& e) {
    std::cerr << describe(e) << "\n";
    return exit_code::usage;
}

} // namespace fulmarworks
