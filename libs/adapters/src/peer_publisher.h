#pragma once

#include "base/error.h"
#include "http/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace fulmarworks {

/**
 * Publisher of messages to subscribers (pubsub_protocol.h), with limits on connections, on the time
 * for a subscriber's greeting, on what a subscriber sends, and on what it hasn't taken.
 *
 * If all connections are in use, a new one replaces the oldest without a greeting, or the oldest of
 * an unknown host. A subscriber that is slow misses messages.
 *
 * Not thread safe; runs on the loop's thread. The loop must outlive it.
 */
class peer_publisher {
public:
    /** Listens on IP:PORT. Errors: invalid_argument for a malformed address, unavailable if it
     * can't be bound. */
    [[nodiscard]] static result<std::unique_ptr<peer_publisher>>
    listen(event_loop& loop, const std::string& address, std::size_t max_connections);

    ~peer_publisher();
    peer_publisher(const peer_publisher&) = delete;
    peer_publisher& operator=(const peer_publisher&) = delete;

    /** Sends a message to all subscribers. */
    void publish(std::string_view message);

    /** Sets the IP addresses of the hosts whose subscriptions are kept. */
    void set_known_hosts(std::set<std::string> ips);

    /** Returns the number of connections that were closed, or not accepted, because of a limit. */
    [[nodiscard]] std::uint64_t rejected_connections() const;

private:
    struct impl;
    explicit peer_publisher(std::unique_ptr<impl> i);
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarworks
