#include "base/digest.h"
#include "command_line.h"
#include "http/http_client.h"
#include "model/configuration_document.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace fulmarworks {

namespace {

constexpr time_ms command_timeout_ms = 10 * milliseconds_per_second;

/** Calls the instances in order until one answers; the status is 0 if none does. */
http_answer call_first_available(const client_options& options, const std::string& method,
                                 const std::string& target, const std::string& body,
                                 time_ms timeout_ms) {
    http_answer answer;
    for (const auto& address : options.addresses()) {
        answer = call_and_wait({method, address, target, body, timeout_ms});
        if (answer.status != 0) {
            return answer;
        }
    }
    std::cerr << "no instance answers; check --address and whether the instances run\n";
    return answer;
}

exit_code exit_code_of(int http_status, const json& body) {
    constexpr int first_error = 400;
    constexpr int unavailable = 503;
    if (http_status == 0 || http_status == unavailable) {
        return exit_code::unavailable;
    }
    if (http_status >= first_error) {
        return exit_code::refused;
    }
    const std::string state = body.value("state", "");
    if (state == "unknown") {
        return exit_code::unknown;
    }
    return state == "failed" || state == "not_run" ? exit_code::job_failed : exit_code::success;
}

void print_fields(const json& body) {
    for (const auto& [key, value] : body.items()) {
        if (!value.is_object() && !value.is_array()) {
            std::cout << std::left << std::setw(16) << key
                      << (value.is_string() ? value.get<std::string>() : value.dump()) << "\n";
        }
    }
}

exit_code print_answer(const client_options& options, const http_answer& answer) {
    const auto parsed = parse_json(answer.body);
    const json body = parsed && parsed.value().is_object() ? parsed.value() : json::object();
    if (answer.status != 0) {
        if (options.json_output()) {
            std::cout << body.dump() << "\n";
        } else {
            print_fields(body);
        }
    }
    return exit_code_of(answer.status, body);
}

/** Arguments that identify a job. */
struct job_arguments {
    explicit job_arguments(TCLAP::CmdLine& command)
        : account("account", "Client account", true, "", "ACCOUNT", command),
          request_id("id", "Request id", true, "", "REQUEST_ID", command) {}

    [[nodiscard]] std::string path() const {
        return "/v1/jobs/" + account.getValue() + "/" + request_id.getValue();
    }

    TCLAP::UnlabeledValueArg<std::string> account;
    TCLAP::UnlabeledValueArg<std::string> request_id;
};

exit_code run_job_command(const arguments& args, const std::string& help, const std::string& method,
                          const std::string& action) {
    TCLAP::CmdLine command(help, ' ', program_version);
    client_options options(command);
    const job_arguments job(command);
    TCLAP::ValueArg<long> wait("w", "wait", "Milliseconds to wait for the end", false, 0, "MS",
                               command);
    parse(command, args);
    const std::string target = job.path() + action + "?wait_ms=" + std::to_string(wait.getValue());
    const auto answer =
        call_first_available(options, method, target, "", command_timeout_ms + wait.getValue());
    return print_answer(options, answer);
}

void print_faults(const json& faults) {
    for (const auto& fault : faults) {
        std::cerr << "line " << fault.value("line", 0) << ": " << fault.value("message", "") << "; "
                  << fault.value("remedy", "") << "\n";
    }
}

} // namespace

exit_code run_check(const arguments& args) {
    const bool of_platform = std::any_of(
        args.begin(), args.end(), [](const auto& text) { return text.starts_with("--platform"); });
    if (of_platform) {
        return run_check_platform(args);
    }
    TCLAP::CmdLine command("Checks a whole configuration without publishing it; with --platform "
                           "FILE, the platform's configuration document.",
                           ' ', program_version);
    TCLAP::UnlabeledValueArg<std::string> file("config", "Configuration", true, "", "FILE",
                                               command);
    TCLAP::SwitchArg as_json("j", "json", "Print JSON", command);
    parse(command, args);
    const auto text = read_file(file.getValue());
    if (!text) {
        return print_error(text.error());
    }
    std::vector<configuration_fault> faults;
    (void)evaluate_document({}, text.value(), faults);
    if (as_json.getValue()) {
        std::cout << json{{"valid", faults.empty()}, {"faults", faults}}.dump() << "\n";
    } else {
        print_faults(faults);
        std::cout << (faults.empty() ? "valid\n" : "faulty\n");
    }
    return faults.empty() ? exit_code::success : exit_code::refused;
}

exit_code run_publish(const arguments& args) {
    TCLAP::CmdLine command("Publishes a configuration or a set of edits.", ' ', program_version);
    client_options options(command);
    TCLAP::UnlabeledValueArg<std::string> file("config", "Configuration or edits", true, "", "FILE",
                                               command);
    TCLAP::ValueArg<long> based_on("b", "based-on", "Version that the change was made from", false,
                                   -1, "VERSION", command);
    parse(command, args);
    const auto text = read_file(file.getValue());
    if (!text) {
        return print_error(text.error());
    }
    const auto document = parse_configuration_document(text.value());
    const std::uint64_t base = based_on.getValue() >= 0
                                   ? static_cast<std::uint64_t>(based_on.getValue())
                                   : document.based_on.value_or(0);
    // The id depends on the document, its base and the minute, so that a publish repeated within
    // the minute is recognised as a duplicate.
    const std::string id = "publish-" + digest(text.value() + "@" + std::to_string(base)) + "-" +
                           std::to_string(wall_now() / milliseconds_per_minute);
    const json body = {{"publish_id", id}, {"based_on", base}, {"document", text.value()}};
    const auto answer =
        call_first_available(options, "POST", "/v1/configuration", body.dump(), command_timeout_ms);
    const auto parsed = parse_json(answer.body);
    if (parsed && parsed.value().is_object() && parsed.value().contains("faults")) {
        print_faults(parsed.value()["faults"]);
    }
    return print_answer(options, answer);
}

exit_code run_submit(const arguments& args) {
    TCLAP::CmdLine command("Submits a job.", ' ', program_version);
    client_options options(command);
    const job_arguments job(command);
    TCLAP::ValueArg<std::string> job_class("c", "class", "Job class", true, "", "CLASS", command);
    TCLAP::ValueArg<int> tasks("t", "tasks", "Members of the gang", false, 1, "N", command);
    TCLAP::ValueArg<int> accelerators("x", "accelerators", "Adjacent accelerators of a task", false,
                                      0, "N", command);
    TCLAP::ValueArg<int> cores("", "cores", "Cores of a task", false, 1, "N", command);
    TCLAP::ValueArg<int> memory("", "memory-gb", "Memory of a task", false, 1, "GB", command);
    TCLAP::ValueArg<long> declared("d", "declared-ms", "Expected run time", false, 0, "MS",
                                   command);
    TCLAP::ValueArg<std::string> payload("p", "payload", "Input of the job", false, "", "TEXT",
                                         command);
    TCLAP::ValueArg<long> wait("w", "wait", "Milliseconds to wait for the end", false, 0, "MS",
                               command);
    parse(command, args);
    const json body = {{"client_account", job.account.getValue()},
                       {"request_id", job.request_id.getValue()},
                       {"job_class", job_class.getValue()},
                       {"tasks", tasks.getValue()},
                       {"accelerators", accelerators.getValue()},
                       {"cores", cores.getValue()},
                       {"memory_gb", memory.getValue()},
                       {"declared_ms", declared.getValue()},
                       {"payload", payload.getValue()},
                       {"wait_ms", wait.getValue()}};
    const auto answer = call_first_available(options, "POST", "/v1/jobs", body.dump(),
                                             command_timeout_ms + wait.getValue());
    return print_answer(options, answer);
}

exit_code run_status(const arguments& args) {
    return run_job_command(args, "Shows the state of a job.", "GET", "");
}

exit_code run_cancel(const arguments& args) {
    return run_job_command(args, "Cancels a job.", "POST", "/cancel");
}

exit_code run_result(const arguments& args) {
    TCLAP::CmdLine command("Writes the whole result of a job to standard output.", ' ',
                           program_version);
    client_options options(command);
    const job_arguments job(command);
    parse(command, args);
    const auto answer =
        call_first_available(options, "GET", job.path() + "/result", "", command_timeout_ms);
    constexpr int status_ok = 200;
    if (answer.status != status_ok) {
        return print_answer(options, answer);
    }
    std::cout.write(answer.body.data(), static_cast<std::streamsize>(answer.body.size()));
    return exit_code::success;
}

exit_code run_explain(const arguments& args) {
    const bool from_logs = std::any_of(args.begin(), args.end(),
                                       [](const auto& text) { return text.starts_with("--logs"); });
    if (from_logs) {
        return run_explain_logs(args);
    }
    TCLAP::CmdLine command("Explains each decision about a job of an instance; with --logs FILE, "
                           "of a request in saved logs.",
                           ' ', program_version);
    client_options options(command);
    const job_arguments job(command);
    parse(command, args);
    const auto answer =
        call_first_available(options, "GET", job.path() + "/explain", "", command_timeout_ms);
    const auto parsed = parse_json(answer.body);
    if (options.json_output() || !parsed || !parsed.value().contains("decisions")) {
        return print_answer(options, answer);
    }
    const json& body = parsed.value();
    print_fields(body["status"]);
    print_fields(body["inputs"]);
    for (const auto& decision : body["decisions"]) {
        std::cout << "offset " << decision.value("offset", 0) << ": " << decision.value("what", "")
                  << "\n";
    }
    return exit_code::success;
}

exit_code run_hosts(const arguments& args) {
    TCLAP::CmdLine command("Lists the hosts and their owners.", ' ', program_version);
    client_options options(command);
    parse(command, args);
    const auto answer = call_first_available(options, "GET", "/v1/hosts", "", command_timeout_ms);
    const auto parsed = parse_json(answer.body);
    if (options.json_output() || !parsed || !parsed.value().contains("hosts")) {
        return print_answer(options, answer);
    }
    for (const auto& h : parsed.value()["hosts"]) {
        std::cout << std::left << std::setw(20) << h.value("host", "") << std::setw(10)
                  << h.value("status", "") << std::setw(12)
                  << (h.value("quarantined", false) ? "quarantined" : "") << std::setw(4)
                  << h.value("used_accelerators", 0) << h.value("owner", "") << "\n";
    }
    return exit_code::success;
}

} // namespace fulmarworks
