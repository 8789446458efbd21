#pragma once

#include "http/event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fulmarworks {

/** Answer of a server; status 0 where there was none in time. */
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
    time_ms timeout_ms = 2000;
    std::vector<http_header> headers = {};
};

/**
 * HTTP client on evhttp that keeps idle connections for reuse. A connection on which a call got no
 * answer in time is closed, so a connection that has gone silent is replaced by the next call.
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

    /** Sends a request. The handler is called exactly once, later, unless the client is destroyed.
     */
    void send(const http_call& call, answer_handler on_answer);

    /** Returns the bytes of headers and bodies sent and received so far. */
    [[nodiscard]] std::uint64_t bytes_transferred() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/** Sends one request and waits for its answer. For commands and tests. */
[[nodiscard]] http_answer call_and_wait(const http_call& call);

} // namespace fulmarworks
