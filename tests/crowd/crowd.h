#pragma once

#include "base/time.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fulmarworks::crowd {

/** What each client of a crowd does. All of them are the same. */
struct crowd_plan {
    /** IP:PORT of the server. */
    std::string address;
    int clients = 1;
    /** Sent once at the beginning of each connection. */
    std::string first;
    /** Sent again and again after that; nothing if it is empty. */
    std::string repeated;
    /** Bytes after which a client sends nothing more; its connection stays open. */
    std::size_t max_bytes = 0;
    /** Bytes that a client sends at most in one step of `advance`; steps are 5 ms apart or more. */
    std::size_t bytes_per_step = 256 * 1024;
    /** Whether clients read what the server sends. */
    bool reads = false;
    /** Bytes after which a client closes its connection; 0 if it keeps it. */
    std::size_t bytes_per_connection = 0;
    /** Whether a client whose connection has ended opens another, within `max_connections`. */
    bool reconnects = true;
    /** Connections that all clients open together at most. */
    int max_connections = 5000;
};

/** Bytes that a flood sends in total: enough to take all memory of a tested process several times.
 */
inline constexpr std::size_t flood_bytes = std::size_t{96} * 1024 * 1024;

/** Clients that send `first`, then `repeated` without end. */
[[nodiscard]] crowd_plan flood(const std::string& address, int clients, std::string first,
                               std::string repeated);

/** More clients than a tested process has descriptors, which send `first` and keep their
 * connections. Each opens another when it loses one, up to twice. */
[[nodiscard]] crowd_plan held_connections(const std::string& address, std::string first);

/**
 * Clients of one server on plain non-blocking sockets that don't keep to its limits. Not thread
 * safe. The destructor closes all connections.
 */
class hostile_crowd {
public:
    /** Precondition: `plan.address` is valid. */
    explicit hostile_crowd(crowd_plan plan);
    ~hostile_crowd();
    hostile_crowd(const hostile_crowd&) = delete;
    hostile_crowd& operator=(const hostile_crowd&) = delete;

    /** Lets each client send what its socket takes now, up to the plan's limits. */
    void advance();

    /** Returns whether no client has sent anything for a second, whatever the reason. */
    [[nodiscard]] bool is_quiet() const;

    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }
    [[nodiscard]] int connections_opened() const { return connections_opened_; }
    [[nodiscard]] int connections_open() const;

private:
    struct client {
        int descriptor = -1;
        std::size_t sent = 0;
        std::size_t sent_on_connection = 0;
    };

    void open(client& c);
    void close(client& c);
    /** Returns whether the connection is still open. */
    bool read_available(client& c) const;
    void send_available(client& c);
    [[nodiscard]] std::string_view next_bytes(const client& c) const;

    crowd_plan plan_;
    std::vector<client> clients_;
    std::uint64_t bytes_sent_ = 0;
    int connections_opened_ = 0;
    time_ms last_progress_at_ = 0;
};

} // namespace fulmarworks::crowd
