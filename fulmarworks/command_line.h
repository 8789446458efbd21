#pragma once

#include "base/json.h"

#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace fulmarworks {

inline constexpr const char* program_version = "0.1.0";

/** Documented in docs/API.md. */
enum class exit_code : int {
    success = 0,
    job_failed = 1,
    usage = 2,
    refused = 3,
    unavailable = 4,
    unknown = 5,
};

/** Arguments of one subcommand. */
using arguments = std::vector<std::string>;

/** Options that every command that calls an instance has. */
class client_options {
public:
    explicit client_options(TCLAP::CmdLine& command);

    /** Instances to try in turn. */
    [[nodiscard]] std::vector<std::string> addresses() const;
    [[nodiscard]] bool json_output() const;

private:
    TCLAP::MultiArg<std::string> address_;
    TCLAP::SwitchArg json_;
};

/** Parses the arguments; TCLAP prints usage errors and exits with 2. */
void parse(TCLAP::CmdLine& command, const arguments& args);

/** Reads a whole file. */
[[nodiscard]] result<std::string> read_file(const std::string& path);

/** Prints an error with its remedy; returns the code for a usage error. */
exit_code print_error(const error& e);

// Subcommands.
exit_code run_serve(const arguments& args);
exit_code run_entry(const arguments& args);
exit_code run_check(const arguments& args);
exit_code run_publish(const arguments& args);
exit_code run_submit(const arguments& args);
exit_code run_status(const arguments& args);
exit_code run_result(const arguments& args);
exit_code run_cancel(const arguments& args);
exit_code run_explain(const arguments& args);
exit_code run_explain_logs(const arguments& args);
exit_code run_hosts(const arguments& args);

} // namespace fulmarworks
