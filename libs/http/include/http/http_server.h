#pragma once

#include "base/error.h"
#include "http/client_limit.h"
#include "http/event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks {

class client_memory;

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
 * HTTP/1.1 server on libevent. Each request gets a token, which `respond` takes, either within the
 * request handler or later.
 *
 * Whatever a client sends, holds open or leaves unread is bounded for each connection, and for all
 * servers that share a `client_memory`. What exceeds a limit is rejected with a status, or its
 * connection is closed; a rejected request has not reached the request handler.
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
    using limit_handler = std::function<void(client_limit limit)>;

    class Builder; // NOLINT(readability-identifier-naming): name set by the style guide.

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /** Responds to a request; does nothing if the client has disconnected. */
    void respond(std::uint64_t token, http_response response);

    /** Closes each connection after its next response; new connections are still accepted. */
    void drain();

    /** Stops accepting connections; open ones are closed after their next response. */
    void stop_listening();

    /** Returns the number of requests without a response so far. */
    [[nodiscard]] std::size_t open_requests() const;

    /** Returns the number of open connections. */
    [[nodiscard]] std::size_t open_connections() const;

    /** Changes the limit of the bodies of requests that arrive from now on. */
    void set_max_body_bytes(std::uint64_t value);

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
    /** Bytes of a request line with all headers, and of a chunk's size line or trailers; at least
     * 1024. Also the bytes that a client may send ahead. */
    Builder& max_head_bytes(std::size_t value);
    /** Time without a request after which a connection is closed. */
    Builder& idle_timeout_ms(time_ms value);
    /** Time for a whole request to arrive, or for a client to take a response. Large messages get
     * more: a second for each 16 KiB transferred. */
    Builder& transfer_timeout_ms(time_ms value);
    /** Open connections. A further one replaces one that is idle, or that transfers for the
     * longest; it is closed at once if the requests of all others are being processed. */
    Builder& max_connections(std::size_t value);
    /** Requests without a response. Further ones are rejected with status 503. */
    Builder& max_open_requests(std::size_t value);
    /** Account of the memory held for clients; an own one of 64 MiB by default. */
    Builder& memory(std::shared_ptr<client_memory> value);
    /** Adds a header whose value is copied into `http_request::headers`. */
    Builder& header(std::string name);
    Builder& on_request(request_handler value);
    /** Called with the token of a request whose client disconnected before the response, which ends
     * the request. Without this handler, a request with a body counts as open until `respond`. */
    Builder& on_gone(gone_handler value);
    /** Called whenever a limit is applied to a client. */
    Builder& on_limit(limit_handler value);

    /** Binds the address and listens. Precondition: `on_request` is set. Errors: invalid_argument
     * for a malformed address, unavailable if it can't be bound. */
    [[nodiscard]] result<std::unique_ptr<http_server>> build(event_loop& loop);

private:
    std::string address_;
    std::uint64_t max_body_bytes_ = 262144;
    std::size_t max_head_bytes_ = 16 * std::size_t{1024};
    time_ms idle_timeout_ms_ = 10 * milliseconds_per_second;
    time_ms transfer_timeout_ms_ = 30 * milliseconds_per_second;
    std::size_t max_connections_ = 4096;
    std::size_t max_open_requests_ = 4096;
    std::shared_ptr<client_memory> memory_;
    std::vector<std::string> headers_;
    request_handler on_request_;
    gone_handler on_gone_;
    limit_handler on_limit_;
};

struct socket_address {
    std::string ip;
    std::uint16_t port = 0;
};

/** Parses IP:PORT with an IPv4 address. Errors: invalid_argument. Thread safe. */
[[nodiscard]] result<socket_address> parse_address(std::string_view text);

} // namespace fulmarworks
