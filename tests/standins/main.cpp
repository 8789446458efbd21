#include "fault_proxy.h"
#include "fleet_standin.h"
#include "log_standin.h"
#include "model/configuration_document.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

using namespace fulmarworks;

namespace {

int report(const error& e) {
    std::cerr << describe(e) << "\n";
    return 2;
}

int run_log(event_loop& loop, std::vector<std::string>& args) {
    TCLAP::CmdLine command("Stand-in for the log service.", ' ', "test");
    TCLAP::ValueArg<std::string> address("a", "address", "Address", true, "", "IP:PORT", command);
    TCLAP::ValueArg<long> records("r", "max-records", "Maximum records kept", false, 1000000, "N",
                                  command);
    TCLAP::ValueArg<long> age("t", "max-age-ms", "Maximum age of records", false, 86400000, "MS",
                              command);
    command.parse(args);
    log_standin log(loop, static_cast<std::size_t>(records.getValue()), age.getValue());
    const auto listening = log.listen(address.getValue());
    if (!listening) {
        return report(listening.error());
    }
    loop.run();
    return 0;
}

int run_fleet(event_loop& loop, std::vector<std::string>& args) {
    TCLAP::CmdLine command("Stand-ins for the host list and the workers.", ' ', "test");
    TCLAP::ValueArg<std::string> config("c", "config", "Configuration", true, "", "FILE", command);
    TCLAP::ValueArg<std::string> address("a", "address", "Host list", true, "", "IP:PORT", command);
    TCLAP::ValueArg<int> port("p", "first-port", "First worker port", true, 0, "PORT", command);
    command.parse(args);
    std::ifstream file(config.getValue());
    std::ostringstream text;
    text << file.rdbuf();
    std::vector<configuration_fault> faults;
    const configuration parsed = evaluate_document({}, text.str(), faults);
    if (!faults.empty()) {
        return report(
            {error_kind::invalid_argument, faults.front().message, "correct the configuration"});
    }
    fleet_standin fleet(loop);
    const auto listening = fleet.listen(parsed, address.getValue(), port.getValue());
    if (!listening) {
        return report(listening.error());
    }
    loop.run();
    return 0;
}

int run_proxy(event_loop& loop, std::vector<std::string>& args) {
    TCLAP::CmdLine command("Fault-injecting TCP proxy.", ' ', "test");
    TCLAP::ValueArg<std::string> address("a", "address", "Address", true, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> target("t", "target", "Target", true, "", "IP:PORT", command);
    TCLAP::ValueArg<std::string> control("c", "control", "Control", true, "", "IP:PORT", command);
    command.parse(args);
    const auto proxy = fault_proxy::listen(loop, address.getValue(), target.getValue());
    if (!proxy) {
        return report(proxy.error());
    }
    std::unique_ptr<http_server> server;
    auto built =
        http_server::Builder()
            .address(control.getValue())
            .on_request([&](const http_request& r, std::uint64_t token) {
                const auto parsed = parse_json(r.body);
                if (parsed && parsed.value().is_object()) {
                    const json& j = parsed.value();
                    const auto fault = parse_enum<proxy_fault>(j.value("fault", "none"));
                    proxy.value()->set_fault(fault.value_or(proxy_fault::none),
                                             j.value("delay_ms", 0), j.value("open_only", false));
                }
                server->respond(token, {200, "{}"});
            })
            .build(loop);
    if (!built) {
        return report(built.error());
    }
    server = std::move(built.value());
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    const std::string name = argc > 1 ? argv[1] : "";
    std::vector<std::string> args = {"fulmarworks-standin " + name};
    args.insert(args.end(), argv + std::min(argc, 2), argv + argc);
    event_loop loop;
    loop.on_signal(SIGTERM, [&] { loop.stop(); });
    if (name == "log") {
        return run_log(loop, args);
    }
    if (name == "fleet") {
        return run_fleet(loop, args);
    }
    if (name == "proxy") {
        return run_proxy(loop, args);
    }
    std::cerr << "usage: fulmarworks-standin log|fleet|proxy OPTIONS\n";
    return 2;
}
