#pragma once

#include "http/event_loop.h"
#include "protocol/peer.h"

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace fulmarworks {

/**
 * Publishes this instance's announcements and receives those of its peers, over nng's
 * publish/subscribe. A peer that was not heard for a while is dialled anew, as its connection may
 * have gone silent.
 *
 * Not thread safe; runs on the loop's thread. The loop must outlive it.
 */
class peer_link {
public:
    using message_handler = std::function<void(const peer_message&)>;

    /** Errors: unavailable where the address can't be listened on. */
    [[nodiscard]] static result<std::unique_ptr<peer_link>>
    listen(event_loop& loop, const std::string& address, message_handler on_message);

    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /** Sends a message to whoever listens. */
    void publish(const peer_message& message);

    /** Sets the addresses to listen to, and dials anew those that were silent. */
    void follow(std::span<const std::string> addresses);

    /** Stops to receive; needed before the loop ends. */
    void close();

private:
    struct impl;
    explicit peer_link(std::unique_ptr<impl> i);
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarworks
