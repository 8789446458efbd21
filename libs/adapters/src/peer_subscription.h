#pragma once

#include "http/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace fulmarworks {

/**
 * Subscription to the messages of one publisher (pubsub_protocol.h). Not thread safe; runs on the
 * loop's thread. The loop must outlive it.
 */
class peer_subscription {
public:
    /** Receives a message; may destroy the subscription. */
    using message_handler = std::function<void(std::string_view)>;

    /** `address` is IP:PORT. */
    peer_subscription(event_loop& loop, std::string address, message_handler on_message);
    ~peer_subscription();
    peer_subscription(const peer_subscription&) = delete;
    peer_subscription& operator=(const peer_subscription&) = delete;

    /** Connects if there is no connection, and replaces one from which nothing was received for a
     * while, as it may be dead without an error. Call it regularly. */
    void maintain();

private:
    static void readable(bufferevent* stream, void* argument);
    static void ended(bufferevent* stream, short what, void* argument);

    void connect();
    void disconnect();
    /** Takes one whole message from the input; returns false if there is none. */
    bool take_message();

    event_loop& loop_;
    std::string address_;
    message_handler on_message_;
    /** Null without a connection. */
    bufferevent* stream_ = nullptr;
    bool greeted_ = false;
    /** Monotonic times. */
    time_ms connected_at_ms_ = 0;
    time_ms heard_at_ms_ = 0;
    /** Tells a callback that the handler of a message has destroyed the subscription. */
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace fulmarworks
