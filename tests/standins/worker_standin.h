#pragma once

#include "fake_worker.h"
#include "http/http_server.h"

#include <map>
#include <memory>
#include <string>

namespace fulmarworks {

/** Serves a fake worker over the HTTP interface of docs/PLATFORM.md and injects its faults. */
class worker_standin {
public:
    worker_standin(event_loop& loop, std::string host, std::vector<history_entry>& history);

    [[nodiscard]] result<bool> listen(const std::string& address);

    /** Discards all tasks and continues with a new incarnation. */
    void restart();
    void set_leaving(bool leaving);
    void set_failing(bool failing);
    /** Sets whether requests are accepted but never answered. */
    void set_silent(bool silent);
    /** Switches the host on or off. Ignores requests while off; restarts when switched on. */
    void set_on(bool on);

private:
    struct pending_poll {
        std::uint64_t seen_version = 0;
        time_ms answer_by = 0;
    };

    void handle(const http_request& r, std::uint64_t token);
    void poll(const http_request& r, std::uint64_t token);
    void order(const http_request& r, std::uint64_t token);
    void send_result(const http_request& r, std::uint64_t token);
    void advance_time();
    void answer_poll(std::uint64_t token, const pending_poll& p);
    void answer_polls_if_changed();
    void respond_report(std::uint64_t token);

    event_loop& loop_;
    fake_worker worker_;
    std::uint64_t answered_version_ = 0;
    bool silent_ = false;
    bool on_ = true;
    std::map<std::uint64_t, pending_poll> polls_;
    std::unique_ptr<http_server> server_;
};

} // namespace fulmarworks
