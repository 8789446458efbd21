#pragma once

#include "http/event_loop.h"
#include "http/traffic_meter.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks {

/** Response of a server; `status` is 0 if the call failed or timed out. */
struct http_answer {
    int status = 0;
    std::string body;
    time_ms retry_after_ms = 0;
};

struct http_header {
    std::string name;
    std::string value;
};

struct http_call {
    std::string method = "GET";
    /** IP:PORT of the server. */
    std::string address;
    /** Path with query. */
    std::string target;
    std::string body;
    /** Time after which the call is given up. It counts only while the loop runs: what has arrived
     * while the process was stalled is read first, and a call that is being answered at its timeout
     * gets up to twice the time. */
    time_ms timeout_ms = 2000;
    std::vector<http_header> headers = {};
    /** Kind under which the traffic of the call is counted. */
    std::string_view kind = "other";
};

/**
 * HTTP client on evhttp that reuses idle connections. A connection whose call timed out is closed,
 * so that no later call reuses an unresponsive connection; one that stays idle is closed after some
 * seconds.
 *
 * Not thread safe; runs on the loop's thread. The loop must outlive the client.
 */
class http_client {
public:
    using answer_handler = std::function<void(const http_answer&)>;

    explicit http_client(event_loop& loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /** Sends a request. `on_answer` is called exactly once, after `send` has returned, unless the
     * client is destroyed first. */
    void send(const http_call& call, answer_handler on_answer);

    /** Returns what was sent and received so far, by kind of call. */
    [[nodiscard]] const traffic_meter& traffic() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/** Sends one request on an event loop of its own and waits for the response. For commands and
 * tests. */
[[nodiscard]] http_answer call_and_wait(const http_call& call);

} // namespace fulmarworks
