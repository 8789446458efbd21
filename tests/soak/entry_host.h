#pragma once

#include "base/time.h"
#include "child_process.h"
#include "cpu_quota.h"
#include "fault_proxy.h"

#include <memory>
#include <string>

namespace fulmarworks::soak {

inline constexpr int ports_per_host = 4;

/** One entry host: a real process and the proxy between it and the store. */
struct entry_host {
    std::string name;
    /** Program that the process runs. */
    std::string binary = FULMARWORKS_BINARY;
    std::string settings_file;
    std::string log_file;
    std::string caller_address;
    std::unique_ptr<fault_proxy> store_proxy;
    std::unique_ptr<child_process> process;
    /** Share of a core that its settings state. */
    double cpu_share = 0.25;
    /** Limits the process to `cpu_share`; null leaves it unlimited. Outlives the host. */
    cpu_quota* quota = nullptr;
    /** Id of the limited process; kept until it is forgotten by `quota`. */
    pid_t limited_process = 0;
    /** Monotonic time at which a process that was sent SIGTERM is killed; 0 unless it was. */
    time_ms kill_at = 0;
};

[[nodiscard]] std::string loopback(int port);

/**
 * Writes the settings of an entry host, and opens its proxy; doesn't start the process. The host
 * uses `ports_per_host` ports from `first_port` on. Throws std::runtime_error if a port is in use.
 */
[[nodiscard]] entry_host make_entry_host(event_loop& loop, const std::string& name,
                                         const std::string& directory, int first_port,
                                         const std::string& store_address, double cpu_share);

/** Starts the process; its output is appended to the log file. */
void start_process(entry_host& host);

/** Kills the process, if it runs, and reaps it. */
void end_process(entry_host& host);

/** Pauses the process, or lets it run on. */
void set_paused(entry_host& host, bool paused);

} // namespace fulmarworks::soak
