#include "base/allocator.h"
#include "command_line.h"
#include "service/instance_service.h"

#include <csignal>
#include <glog/logging.h>

namespace fulmarworks {

exit_code run_serve(const arguments& args) {
    TCLAP::CmdLine command("Runs one instance.", ' ', program_version);
    TCLAP::ValueArg<std::string> settings_file("s", "settings", "Settings of this process", true,
                                               "", "FILE", command);
    parse(command, args);
    const auto text = read_file(settings_file.getValue());
    if (!text) {
        return print_error(text.error());
    }
    const auto settings = parse_service_settings(text.value());
    if (!settings) {
        return print_error(settings.error());
    }
    FLAGS_logtostderr = true;
    google::InitGoogleLogging("fulmarworks");
    return_large_blocks();
    event_loop loop;
    const auto service = instance_service::start(loop, settings.value());
    if (!service) {
        print_error(service.error());
        return exit_code::unavailable;
    }
    loop.on_signal(SIGTERM, [&] { service.value()->shut_down(); });
    loop.on_signal(SIGINT, [&] { service.value()->shut_down(); });
    loop.run();
    return exit_code::success;
}

} // namespace fulmarworks
