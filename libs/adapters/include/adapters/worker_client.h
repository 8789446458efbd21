#pragma once

#include "http/http_client.h"
#include "protocol/worker.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmarworks {

/**
 * HTTP client of the workers and of the host list; docs/PLATFORM.md specifies the calls.
 *
 * Not thread safe; runs on the event loop's thread. The `http_client` must outlive it.
 */
class worker_client {
public:
    using report_handler = std::function<void(const std::optional<worker_report>&)>;

    enum class poll_status { changed, unchanged, failed };

    /** The report is valid only if the status is `changed`. */
    using poll_handler = std::function<void(poll_status, const worker_report&)>;

    worker_client(http_client& client, std::string host_list_address);

    /**
     * Requests the state of a worker. The worker answers at once if its version differs from
     * `seen_version`, otherwise after at most `wait_ms`.
     */
    void poll(const std::string& address, std::uint64_t seen_version, time_ms wait_ms,
              time_ms lease_ms, poll_handler done);

    /** Sends an order; the answer is the state of the worker after it, or nothing on failure. */
    void send(const std::string& address, const task_order& order, report_handler done);

    /** Fetches a result. Status 404 means that the worker does not have it. */
    void fetch_result(const std::string& address, const std::string& job, int attempt,
                      std::function<void(const http_answer&)> done);

    /** Reads the host list; the result is empty if the service does not answer. */
    void list_hosts(std::function<void(const std::optional<std::vector<host_entry>>&)> done);

    /** Requests that a host be switched on or off. Idempotent. */
    void request_power(const std::string& host, bool on);

private:
    http_client& client_;
    std::string host_list_address_;
};

} // namespace fulmarworks
