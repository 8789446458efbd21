#include "command_line.h"

#include <iostream>

using namespace fulmarworks;

namespace {

struct subcommand {
    const char* name;
    const char* help;
    exit_code (*run)(const arguments& args);
};

constexpr subcommand subcommands[] = {
    {"serve", "run one instance", run_serve},
    {"entry", "run an entry host on the platform", run_entry},
    {"check", "check a configuration", run_check},
    {"publish", "publish a configuration or edits", run_publish},
    {"submit", "submit a job", run_submit},
    {"status", "show the state of a job", run_status},
    {"result", "write the result of a job", run_result},
    {"cancel", "cancel a job", run_cancel},
    {"explain", "explain the decisions about a job, or with --logs about a request in saved logs",
     run_explain},
    {"hosts", "list the hosts", run_hosts},
};

int print_usage() {
    std::cerr << "usage: fulmarworks COMMAND [OPTIONS]; COMMAND --help shows its options\n";
    for (const auto& c : subcommands) {
        std::cerr << "  " << c.name << "\t" << c.help << "\n";
    }
    std::cerr << "  version\tshow the version\n";
    return static_cast<int>(exit_code::usage);
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 2) {
        return print_usage();
    }
    const std::string name = argv[1];
    if (name == "version") {
        std::cout << "fulmarworks " << program_version << "\n";
        return 0;
    }
    arguments args = {"fulmarworks " + name};
    args.insert(args.end(), argv + 2, argv + argc);
    for (const auto& c : subcommands) {
        if (name == c.name) {
            return static_cast<int>(c.run(args));
        }
    }
    return print_usage();
}
