#pragma once

#include "model/configuration.h"
#include "worker_standin.h"

#include <memory>

namespace fulmarworks {

/** Serves the host list and all workers of a configuration in one process. Not thread safe. */
class fleet_standin {
public:
    explicit fleet_standin(event_loop& loop);

    /**
     * Listens on consecutive loopback ports from `first_port` on, one for each host of the
     * configuration. Spare hosts are initially off.
     */
    [[nodiscard]] result<bool> listen(const configuration& config,
                                      const std::string& host_list_address, int first_port);

private:
    struct host_standin {
        std::unique_ptr<worker_standin> worker;
        std::string address;
        std::string state = "live";
        time_ms startup_ms = 0;
    };

    void handle(const http_request& r, std::uint64_t token);
    void send_host_list(std::uint64_t token);
    void set_power(const std::string& host, bool on);
    void control(const http_request& r, std::uint64_t token);
    void apply_fault(host_standin& m, const std::string& fault);

    event_loop& loop_;
    std::vector<history_entry> history_;
    std::map<std::string, host_standin> hosts_;
    std::unique_ptr<http_server> server_;
};

} // namespace fulmarworks
