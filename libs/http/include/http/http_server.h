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
    /** Query string after the question mark, not decoded. */
    std::string query;
    std::string body;
    /** Values of the headers registered with `Builder::header`, in that order; empty if absent. */
    std::vector<std::string> headers;
};

struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    /** Sent as Retry-After if above 0, rounded up to whole seconds. */
    time_ms retry_after_ms = 0;
    /** Closes the connection after this response, so that the client's next connection is load
     * balanced again. */
    bool close_connection = false;
};

/** Returns a response whose body is an empty JSON object. Thread safe. */
[[nodiscard]] http_response empty_response(int status);

/** Returns the percent-decoded value of a query parameter; empty if absent. Thread safe. */
[[nodiscard]] std::string query_value(std::string_view query, std::string_view key);

/** Returns the part of the path after `prefix`, or nothing if that part is empty or the path has
 * another prefix. Thread safe. */
[[nodiscard]] std::optional<std::string> path_argument(const http_request& request,
                                                       std::string_view prefix);

/** Returns the value of an integer query parameter, or `fallback` if it is absent or malformed.
 * Thread safe. */
[[nodiscard]] std::int64_t query_number(std::string_view query, std::string_view key,
                                        std::int64_t fallback);

/**
 * HTTP server on evhttp. Each request gets a token, which `respond` takes, either within the
 * request handler or later.
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

    class Builder; // NOLINT(readability-identifier-naming): name set by the style guide.

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /** Responds to a request; does nothing if the client has disconnected. */
    void respond(std::uint64_t token, const http_response& response);

    /** Closes each connection after its next response; new connections are still accepted. */
    void drain();

    /** Stops accepting connections; open ones are closed after their next response. */
    void stop_listening();

    /** Returns the number of requests without a response so far. */
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
    /** Time limit for a client to send its request. */
    Builder& read_timeout_ms(time_ms value);
    /** Adds a header whose value is copied into `http_request::headers`. */
    Builder& header(std::string name);
    Builder& on_request(request_handler value);
    /** Called with the token of a request whose client disconnected before the response. */
    Builder& on_gone(gone_handler value);

    /** Binds the address and listens. Errors: invalid_argument for a malformed address, unavailable
     * if it can't be bound. */
    [[nodiscard]] result<std::unique_ptr<http_server>> build(event_loop& loop);

private:
    std::string address_;
    std::uint64_t max_body_bytes_ = 262144;
    time_ms read_timeout_ms_ = 10 * milliseconds_per_second;
    std::vector<std::string> headers_;
    request_handler on_request_;
    gone_handler on_gone_;
};

struct socket_address {
    std::string ip;
    std::uint16_t port = 0;
};

/** Parses IP:PORT with an IPv4 address. Errors: invalid_argument. Thread safe. */
[[nodiscard]] result<socket_address> parse_address(std::string_view text);

} // namespace fulmarworks
