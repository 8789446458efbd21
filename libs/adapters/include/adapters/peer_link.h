#pragma once

#include "http/event_loop.h"
#include "protocol/peer.h"

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace fulmarworks {

/**
 * Publishes this instance's announcements and receives those of its peers by the scalability
 * protocols PUB and SUB. Reconnects to a peer from which nothing was
 * received for a while, as its connection may be dead without an error.
 *
 * Not thread safe; runs on the event loop's thread. The loop must outlive it.
 */
class peer_link {
public:
    using message_handler = std::function<void(const peer_message&)>;

    /** Listens on `address` for at most `max_subscribers` peers. Errors: unavailable if that
     * fails. */
    [[nodiscard]] static result<std::unique_ptr<peer_link>> listen(event_loop& loop,
                                                                   const std::string& address,
                                                                   std::size_t max_subscribers,
                                                                   message_handler on_message);

    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /** Sends a message to all subscribers. */
    void publish(const peer_message& message);

    /**
     * Sets the peers to subscribe to, by address. Reconnects to those from which nothing was
     * received for a while.
     */
    void follow(std::span<const std::string> addresses);

    /** Returns the number of connections to this instance that were closed, or not accepted,
     * because of a limit. */
    [[nodiscard]] std::uint64_t rejected_connections() const;

    /** Closes both sockets. Must be called before the loop ends. Idempotent. */
    void close();

private:
    struct impl;
    explicit peer_link(std::unique_ptr<impl> i);
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarworks
