#pragma once

#include "base/json.h"

#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace fulmarworks {

inline constexpr const char* program_version = "0.1.0";

/** Exit codes of the program, as documented in docs/API.md. */
enum class exit_code : int {
    success = 0,
    job_failed = 1,
    usage = 2,
    refused = 3,
    unavailable = 4,
    unknown = 5,
    // Of `check --platform` only.
    check_warnings = 1,
    check_errors = 2,
};

/** Arguments of one subcommand. */
using arguments = std::vector<std::string>;

/** Options shared by all commands that call an instance. */
class client_options {
public:
    explicit client_options(TCLAP::CmdLine& command);

    /** Returns the addresses of the instances to try, in order. */
    [[nodiscard]] std::vector<std::string> addresses() const;
    [[nodiscard]] bool json_output() const;

private:
    TCLAP::MultiArg<std::string> address_;
    TCLAP::SwitchArg json_;
};

/** Parses the arguments; exits the process with 2 after printing a usage error, with 0 after
 * --help. */
void parse(TCLAP::CmdLine& command, const arguments& args);

/** Reads a whole file. Errors: not_found if it can't be opened. */
[[nodiscard]] result<std::string> read_file(const std::string& path);

/** Prints an error with its remedy; returns `exit_code::usage`. */
exit_code print_error(const error& e);

// Subcommands: each parses its own arguments.
exit_code run_serve(const arguments& args);
exit_code run_entry(const arguments& args);
exit_code run_check(const arguments& args);
exit_code run_check_platform(const arguments& args);
exit_code run_publish(const arguments& args);
exit_code run_submit(const arguments& args);
exit_code run_status(const arguments& args);
exit_code run_result(const arguments& args);
exit_code run_cancel(const arguments& args);
exit_code run_explain(const arguments& args);
exit_code run_explain_logs(const arguments& args);
exit_code run_hosts(const arguments& args);

} // namespace fulmarworks
