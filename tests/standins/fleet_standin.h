#pragma once

#include "model/configuration.h"
#include "worker_standin.h"

#include <memory>

namespace fulmarworks {

/** The host list and all workers of a configuration in one process. */
class fleet_standin {
public:
    explicit fleet_standin(event_loop& loop);

    /** Gives every host of the configuration a port from `first_port` on; spare hosts are off. */
    [[nodiscard]] result<bool> listen(const configuration& config,
                                      const std::string& host_list_address, int first_port);

private:
    struct member {
        std::unique_ptr<worker_standin> worker;
        std::string address;
        std::string state = "live";
        time_ms startup_ms = 0;
    };

    void handle(const http_request& r, std::uint64_t token);
    void list(std::uint64_t token);
    void switch_power(const std::string& host, bool on);
    void control(const http_request& r, std::uint64_t token);
    void apply_fault(member& m, const std::string& fault);

    event_loop& loop_;
    std::vector<history_entry> history_;
    std::map<std::string, member> members_;
    std::unique_ptr<http_server> server_;
};

} // namespace fulmarworks
