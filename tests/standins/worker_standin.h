#pragma once

#include "fake_worker.h"
#include "http/http_server.h"

#include <map>
#include <memory>
#include <string>

namespace fulmarworks {

/** A fake worker behind HTTP, with the interface of docs/PLATFORM.md and a switch for faults. */
class worker_standin {
public:
    worker_standin(event_loop& loop, std::string host, std::vector<history_entry>& history);

    [[nodiscard]] result<bool> listen(const std::string& address);

    /** Loses all tasks and starts with a new incarnation. */
    void restart();
    void set_leaving(bool leaving);
    void set_failing(bool failing);
    /** Takes calls but never answers them. */
    void set_silent(bool silent);
    /** Off: the host answers nobody and runs nothing. */
    void set_on(bool on);

private:
    struct waiting_poll {
        std::uint64_t seen_version = 0;
        time_ms answer_by = 0;
    };

    void handle(const http_request& r, std::uint64_t token);
    void poll(const http_request& r, std::uint64_t token);
    void order(const http_request& r, std::uint64_t token);
    void send_result(const http_request& r, std::uint64_t token);
    void check_time();
    void answer_poll(std::uint64_t token, const waiting_poll& p);
    void answer_polls_if_changed();
    void respond_report(std::uint64_t token);

    event_loop& loop_;
    fake_worker worker_;
    std::uint64_t answered_version_ = 0;
    bool silent_ = false;
    bool on_ = true;
    std::map<std::uint64_t, waiting_poll> polls_;
    std::unique_ptr<http_server> server_;
};

} // namespace fulmarworks
