#pragma once

#include "base/time.h"
#include "http/client_limit.h"
#include "http/http_server.h"
#include "load_shedding.h"
#include "request_parser.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;

namespace fulmarworks {

class client_memory;
class client_connection;

/** Limits of the connections of one server. */
struct connection_limits {
    parser_limits request;
    /** Time without a request after which a connection is closed. */
    time_ms idle_timeout_ms = 0;
    /** Time for a whole request to arrive, or for a client to take a response. */
    time_ms transfer_timeout_ms = 0;
};

/** Callbacks from a connection to its server. */
struct connection_handlers {
    /** A whole request has arrived; `respond` is due. */
    std::function<void(client_connection&, const http_request&)> on_request;
    /** Returns whether the server takes another request now. */
    std::function<bool()> has_capacity;
    /** The client has closed the connection while its request was being processed. The server is
     * assumed to hold `bytes` for the request. */
    std::function<void(client_connection&, std::size_t bytes)> on_gone;
    std::function<void(client_limit)> on_limit;
    /** The connection is closed and can be destroyed, but not within this call. */
    std::function<void(client_connection&)> on_closed;
};

/**
 * One connection of a client to an `http_server`. Requests are handled one after the other: what a
 * client sends ahead stays in the socket, but for one buffer of `max_head_bytes`.
 *
 * Not thread safe; runs on the event loop of its stream.
 */
class client_connection {
public:
    /** Takes ownership of `stream` and its descriptor. All references must outlive the connection.
     */
    client_connection(bufferevent* stream, std::uint64_t id, const connection_limits& limits,
                      std::span<const std::string> header_names, connection_handlers& handlers,
                      client_memory& memory);
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /** Begins to read. Call once, when the server can take callbacks for this connection. */
    void start();

    [[nodiscard]] std::uint64_t id() const { return id_; }
    [[nodiscard]] const connection_load& load() const { return load_; }

    /** Sends the response to the request that is being processed; does nothing without one. */
    void respond(http_response response, bool close_connection);

    /** Closes the connection because of a limit. Does nothing if it is closed. */
    void give_up(client_limit limit);

    /** Closes the connection if its client has taken too long. */
    void check_timeouts(time_ms now_ms);

    /** Moves the begin of the current phase by a time in which the process wasn't run. */
    void extend_phase(time_ms duration_ms) { load_.since_ms += duration_ms; }

private:
    static void readable(bufferevent* stream, void* argument);
    static void written(bufferevent* stream, void* argument);
    static void ended(bufferevent* stream, short what, void* argument);

    void enter(connection_phase phase);
    void read_request();
    void parse_input();
    void dispatch();
    void reject(int status, client_limit limit);
    void write(http_response response, bool close_connection);
    void finish_response();
    void discard_input();
    void close();
    /** Reports the bytes held to the account; returns false if they exceed it. */
    [[nodiscard]] bool update_load();
    [[nodiscard]] std::size_t input_bytes() const;
    [[nodiscard]] std::size_t output_bytes() const;
    /** Returns whether the request or response has been under way for too long. */
    [[nodiscard]] bool is_transfer_late(std::size_t transferred_bytes, time_ms age_ms) const;

    bufferevent* stream_;
    std::uint64_t id_;
    const connection_limits& limits_;
    std::span<const std::string> header_names_;
    connection_handlers& handlers_;
    client_memory& memory_;
    connection_load load_;
    /** The request that is arriving; null between requests. */
    std::unique_ptr<request_parser> parser_;
    /** Bytes that the server is assumed to hold for the request that is being processed. */
    std::size_t processing_bytes_ = 0;
    /** Bytes of the current request that have been parsed. */
    std::size_t parsed_bytes_ = 0;
    std::size_t response_bytes_ = 0;
    std::size_t discarded_bytes_ = 0;
    bool keeps_alive_ = true;
    bool closes_after_response_ = false;
    /** Whether the client may still be sending a request that was rejected. */
    bool lingers_ = false;
    bool closed_ = false;
};

} // namespace fulmarworks
