#include "command_line.h"
#include "logs/request_timeline.h"

#include <fstream>
#include <iostream>

namespace fulmarworks {

namespace {

void collect_relevant_lines(std::istream& in, const std::string& request,
                            std::vector<logs::log_record>& relevant) {
    std::string text;
    while (std::getline(in, text)) {
        auto line = logs::parse_log_line(text);
        if (line && logs::may_be_relevant(*line, request)) {
            relevant.push_back(std::move(*line));
        }
    }
}

void print_line(const logs::log_record& line, time_ms since_ms) {
    std::cout << "+" << line.timestamp_ms - since_ms << " ms\t" << line.node << "\t" << line.event;
    for (const auto& [name, value] : line.fields) {
        std::cout << " " << name << "=" << value;
    }
    std::cout << "\n";
}

} // namespace

exit_code run_explain_logs(const arguments& args) {
    TCLAP::CmdLine command("Explains a request from the saved logs of all hosts.", ' ',
                           program_version);
    TCLAP::MultiArg<std::string> files("", "logs", "file with log lines; - reads standard input",
                                       true, "FILE", command);
    TCLAP::UnlabeledValueArg<std::string> request("ID", "id of the request", true, "", "ID",
                                                  command);
    parse(command, args);
    std::vector<logs::log_record> lines;
    for (const auto& name : files.getValue()) {
        if (name == "-") {
            collect_relevant_lines(std::cin, request.getValue(), lines);
            continue;
        }
        std::ifstream file(name);
        if (!file) {
            return print_error({error_kind::not_found, "can't read " + name,
                                "give the path of a file with log lines"});
        }
        collect_relevant_lines(file, request.getValue(), lines);
    }
    const auto timeline = logs::build_timeline(lines, request.getValue());
    for (const auto& line : timeline.lines) {
        print_line(line, timeline.lines.front().timestamp_ms);
    }
    for (const auto& finding : timeline.findings) {
        std::cout << finding << "\n";
    }
    return timeline.lines.empty() ? exit_code::unknown : exit_code::success;
}

} // namespace fulmarworks
