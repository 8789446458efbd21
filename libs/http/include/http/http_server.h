#pragma once

#include "base/error.h"
#include "http/event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks {

struct http_request {
    std::string method;
    std::string path;
    /** Raw text after the question mark. */
    std::string query;
    std::string body;
    /** Values of the headers that `Builder::header` named, in that order; empty where absent. */
    std::vector<std::string> headers;
};

struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    /** Sent as Retry-After in whole seconds where above 0. */
    time_ms retry_after_ms = 0;
    /** Closes the connection after this answer, so that the client's next one is balanced anew. */
    bool close_connection = false;
};

/** Returns an answer with an empty JSON object as its body. Thread safe. */
[[nodiscard]] http_response empty_response(int status);

/** Returns the value of a query parameter, decoded, or an empty text. Thread safe. */
[[nodiscard]] std::string query_value(std::string_view query, std::string_view key);

/** Returns what follows `prefix` in the path, unless it is empty or the path differs. Thread safe.
 */
[[nodiscard]] std::optional<std::string> path_argument(const http_request& request,
                                                       std::string_view prefix);

/** Returns a whole number from a query parameter, or `fallback`. Thread safe. */
[[nodiscard]] std::int64_t query_number(std::string_view query, std::string_view key,
                                        std::int64_t fallback);

/**
 * HTTP server on evhttp. Every request gets a token, with which it is answered at once or later.
 *
 *     auto server = http_server::Builder()
 *                       .address("127.0.0.1:8080")
 *                       .on_request([&](const http_request& r, std::uint64_t token) { ... })
 *                       .build(loop);
 *     server.value()->respond(token, {200, "{}"});
 *
 * Not thread safe; runs on the loop's thread. The loop must outlive the server.
 */
class http_server {
public:
    using request_handler = std::function<void(const http_request&, std::uint64_t token)>;
    using gone_handler = std::function<void(std::uint64_t token)>;

    class Builder; // NOLINT(readability-identifier-naming): the house style names it so.

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /** Answers a request; does nothing if the client is gone. */
    void respond(std::uint64_t token, const http_response& response);

    /** Closes every connection after its next answer; new ones are still taken. */
    void drain();

    /** Stops taking new connections; open ones are closed after their next answer. */
    void stop_listening();

    /** Returns the number of requests that were not answered yet. */
    [[nodiscard]] std::size_t open_requests() const;

private:
    struct impl;
    explicit http_server(std::unique_ptr<impl> i);
    std::unique_ptr<impl> impl_;
};

class http_server::Builder {
public:
    /** IP address and port, such as 127.0.0.1:8080. */
    Builder& address(std::string value);
    Builder& max_body_bytes(std::uint64_t value);
    /** Time in which a client must have sent its request. */
    Builder& read_timeout_ms(time_ms value);
    /** Adds a request header that handlers want to read. */
    Builder& header(std::string name);
    Builder& on_request(request_handler value);
    Builder& on_gone(gone_handler value);

    /** Binds and starts to listen. Errors: unavailable where the address can't be bound. */
    [[nodiscard]] result<std::unique_ptr<http_server>> build(event_loop& loop);

private:
    std::string address_;
    std::uint64_t max_body_bytes_ = 262144;
    time_ms read_timeout_ms_ = 10 * milliseconds_per_second;
    std::vector<std::string> headers_;
    request_handler on_request_;
    gone_handler on_gone_;
};

/** Splits "ip:port"; an error names what is wrong. Thread safe. */
struct socket_address {
    std::string ip;
    std::uint16_t port = 0;
};
[[nodiscard]] result<socket_address> parse_address(std::string_view text);

} // namespace fulmarworks
