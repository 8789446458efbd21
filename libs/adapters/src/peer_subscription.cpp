#include "peer_subscription.h"

#include "http/http_server.h"
#include "http/tcp_stream.h"
#include "pubsub_protocol.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>

namespace fulmarworks {

namespace {

/** Shortest time between two connections to a publisher. */
constexpr time_ms reconnect_interval_ms = 100;
/** Time without a message after which a connection is assumed to be dead. */
constexpr time_ms silence_timeout_ms = 2000;
/** A longer message ends the connection before it is read. */
constexpr std::size_t max_message_bytes = std::size_t{64} * 1024;

} // namespace

peer_subscription::peer_subscription(event_loop& loop, std::string address,
                                     message_handler on_message)
    : loop_(loop), address_(std::move(address)), on_message_(std::move(on_message)) {
    connect();
}

peer_subscription::~peer_subscription() {
    disconnect();
}

void peer_subscription::connect() {
    connected_at_ms_ = monotonic_now();
    const auto where = parse_address(address_);
    if (!where) {
        return;
    }
    sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons(where.value().port);
    inet_pton(AF_INET, where.value().ip.c_str(), &to.sin_addr);
    stream_ = bufferevent_socket_new(loop_.base(), -1, 0);
    bufferevent_setcb(stream_, readable, nullptr, ended, this);
    bufferevent_setwatermark(stream_, EV_READ, 0, length_bytes + max_message_bytes);
    bufferevent_write(stream_, subscriber_greeting.data(), subscriber_greeting.size());
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(stream_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
        disconnect();
    }
}

void peer_subscription::disconnect() {
    if (stream_ != nullptr) {
        shut_stream(stream_);
        bufferevent_free(stream_);
        stream_ = nullptr;
    }
    greeted_ = false;
}

void peer_subscription::maintain() {
    const time_ms now = monotonic_now();
    if (stream_ != nullptr && now - std::max(heard_at_ms_, connected_at_ms_) > silence_timeout_ms) {
        disconnect();
    }
    if (stream_ == nullptr && now - connected_at_ms_ >= reconnect_interval_ms) {
        connect();
    }
}

bool peer_subscription::take_message() {
    evbuffer* input = bufferevent_get_input(stream_);
    const std::size_t available = evbuffer_get_length(input);
    std::string head(length_bytes, '\0');
    if (available < length_bytes) {
        return false;
    }
    evbuffer_copyout(input, head.data(), head.size());
    if (!greeted_) {
        evbuffer_drain(input, greeting_bytes);
        greeted_ = head == publisher_greeting;
        if (!greeted_) {
            disconnect();
        }
        return greeted_;
    }
    const std::uint64_t size = decode_length(head);
    if (size > max_message_bytes) {
        disconnect();
        return false;
    }
    if (available < length_bytes + size) {
        return false;
    }
    std::string message(size, '\0');
    evbuffer_drain(input, length_bytes);
    evbuffer_remove(input, message.data(), message.size());
    heard_at_ms_ = monotonic_now();
    const std::weak_ptr<bool> alive = alive_;
    const message_handler handler = on_message_; // outlives the subscription
    handler(message);
    return !alive.expired() && stream_ != nullptr;
}

void peer_subscription::readable(bufferevent*, void* argument) {
    auto& self = *static_cast<peer_subscription*>(argument);
    while (self.take_message()) {
    }
}

void peer_subscription::ended(bufferevent*, short what, void* argument) {
    if ((what & BEV_EVENT_CONNECTED) == 0) {
        static_cast<peer_subscription*>(argument)->disconnect();
    }
}

} // namespace fulmarworks
