#include "entry_host.h"

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <vector>

namespace fulmarworks::soak {

std::string loopback(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

entry_host make_entry_host(event_loop& loop, const std::string& name, const std::string& directory,
                           int first_port, const std::string& store_address, double cpu_share) {
    entry_host host;
    host.cpu_share = cpu_share;
    host.name = name;
    host.settings_file = directory + "/" + name + ".yaml";
    host.log_file = directory + "/" + name + ".log";
    host.caller_address = loopback(first_port);
    auto proxy = fault_proxy::listen(loop, loopback(first_port + 3), store_address);
    if (!proxy) {
        throw std::runtime_error(describe(proxy.error()));
    }
    host.store_proxy = std::move(proxy.value());
    std::ofstream(host.settings_file)
        << "name: " << host.name
        << "\nfailure_domain: z1\nip: 127.0.0.1\ncaller_address: " << host.caller_address
        << "\nreadiness_address: " << loopback(first_port + 1)
        << "\ninternal_port: " << first_port + 2 << "\nstore_address: " << loopback(first_port + 3)
        << "\nstore_partitions: 4\ncpu_share: " << cpu_share << "\nstop_grace_s: 6\n"
        << "configuration_bound_ms: 2000\ndrain_bound_ms: 2000\nmax_lease_ms: "
           "6000\nstop_timeout_ms: 200\n"
        << "reclaim_ms: 2700\nremote_factor: 3\nstatus_retention_s: 120\n";
    return host;
}

void start_process(entry_host& host) {
    host.kill_at = 0;
    host.process = std::make_unique<child_process>(
        std::vector<std::string>{host.binary, "entry", "--settings", host.settings_file},
        host.log_file);
    if (host.quota != nullptr) {
        host.limited_process = host.process->id();
        host.quota->limit(host.limited_process, host.cpu_share);
    }
}

void end_process(entry_host& host) {
    if (host.quota != nullptr) {
        host.quota->remove(host.limited_process);
    }
    host.process.reset();
    host.kill_at = 0;
}

void set_paused(entry_host& host, bool paused) {
    if (!host.process) {
        return;
    }
    if (host.quota != nullptr) {
        host.quota->set_paused(host.process->id(), paused);
    } else {
        host.process->signal(paused ? SIGSTOP : SIGCONT);
    }
}

} // namespace fulmarworks::soak
