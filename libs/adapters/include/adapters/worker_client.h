#pragma once

#include "http/http_client.h"
#include "protocol/worker.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmarworks {

/**
 * Adapter of the workers and the host list; docs/PLATFORM.md specifies the calls.
 *
 * Not thread safe; runs on the loop's thread. The client must outlive it.
 */
class worker_client {
public:
    using report_handler = std::function<void(const std::optional<worker_report>&)>;

    enum class poll_status { changed, unchanged, failed };

    /** The report holds only where the status is `changed`. */
    using poll_handler = std::function<void(poll_status, const worker_report&)>;

    worker_client(http_client& client, std::string host_list_address);

    /** Asks a worker for its state; it answers at once if that differs from `seen_version`. */
    void poll(const std::string& address, std::uint64_t seen_version, time_ms wait_ms,
              time_ms lease_ms, poll_handler done);

    /** Sends an order; the answer is the worker's state after it. */
    void send(const std::string& address, const task_order& order, report_handler done);

    /** Fetches a result. Status 404: the worker does not have it. */
    void fetch_result(const std::string& address, const std::string& job, int attempt,
                      std::function<void(const http_answer&)> done);

    /** Reads the host list; nothing where it does not answer. */
    void list_hosts(std::function<void(const std::optional<std::vector<host_entry>>&)> done);

    /** Asks for a host to be switched on or off. Idempotent. */
    void request_power(const std::string& host, bool on);

private:
    http_client& client_;
    std::string host_list_address_;
};

} // namespace fulmarworks
