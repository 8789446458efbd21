#include "adapters/peer_link.h"

#include "http/http_server.h"
#include "peer_publisher.h"

#include <algorithm>
#include <map>
#include <nng/nng.h>
#include <nng/protocol/pubsub0/sub.h>

namespace fulmarworks {

namespace {

/** Time without a message after which a connection is assumed to be dead. */
constexpr time_ms silence_timeout_ms = 2000;
/** Added to the timeout for the minimum time between two dials of a peer. */
constexpr time_ms redial_pause_ms = 1000;

struct peer_subscription {
    nng_dialer dialer = NNG_DIALER_INITIALIZER;
    time_ms last_heard_at = 0;
    time_ms dialled_at = 0;
};

std::set<std::string> ips_of(std::span<const std::string> addresses) {
    std::set<std::string> ips;
    for (const auto& address : addresses) {
        if (const auto parsed = parse_address(address)) {
            ips.insert(parsed.value().ip);
        }
    }
    return ips;
}

} // namespace

struct peer_link::impl {
    std::unique_ptr<peer_publisher> publisher;
    nng_socket subscriber = NNG_SOCKET_INITIALIZER;
    message_handler on_message;
    std::map<std::string, peer_subscription> peers;
    bool open = true;

    void dial(const std::string& address, peer_subscription& peer) {
        peer.dialled_at = monotonic_now();
        nng_dial(subscriber, ("tcp://" + address).c_str(), &peer.dialer, NNG_FLAG_NONBLOCK);
    }

    void receive() {
        while (open) {
            char* data = nullptr;
            std::size_t size = 0;
            constexpr int flags = NNG_FLAG_ALLOC | NNG_FLAG_NONBLOCK;
            if (nng_recv(subscriber, static_cast<void*>(&data), &size, flags) != 0) {
                return;
            }
            const auto parsed = parse_json(std::string_view(data, size));
            nng_free(data, size);
            if (!parsed) {
                continue;
            }
            if (const auto message = decode_json<peer_message>(parsed.value())) {
                const auto peer = peers.find(message.value().address);
                if (peer != peers.end()) {
                    peer->second.last_heard_at = monotonic_now();
                }
                on_message(message.value());
            }
        }
    }
};

result<std::unique_ptr<peer_link>> peer_link::listen(event_loop& loop, const std::string& address,
                                                     std::size_t max_subscribers,
                                                     message_handler on_message) {
    auto i = std::make_unique<impl>();
    i->on_message = std::move(on_message);
    auto publisher = peer_publisher::listen(loop, address, max_subscribers);
    if (!publisher) {
        return publisher.error();
    }
    i->publisher = std::move(publisher.value());
    int descriptor = -1;
    if (nng_sub0_open(&i->subscriber) != 0 ||
        nng_socket_set(i->subscriber, NNG_OPT_SUB_SUBSCRIBE, "", 0) != 0 ||
        nng_socket_get_int(i->subscriber, NNG_OPT_RECVFD, &descriptor) != 0) {
        nng_close(i->subscriber);
        return error{error_kind::unavailable, "cannot subscribe to other instances",
                     "check the limit of descriptors"};
    }
    impl* raw = i.get();
    loop.on_readable(descriptor, [raw] { raw->receive(); });
    return std::unique_ptr<peer_link>(new peer_link(std::move(i)));
}

peer_link::peer_link(std::unique_ptr<impl> i) : impl_(std::move(i)) {}

peer_link::~peer_link() {
    close();
}

void peer_link::close() {
    if (impl_->open) {
        impl_->open = false;
        impl_->publisher.reset();
        nng_close(impl_->subscriber);
    }
}

std::uint64_t peer_link::rejected_connections() const {
    return impl_->open ? impl_->publisher->rejected_connections() : 0;
}

void peer_link::publish(const peer_message& message) {
    if (impl_->open) {
        impl_->publisher->publish(json(message).dump());
    }
}

void peer_link::follow(std::span<const std::string> addresses) {
    std::erase_if(impl_->peers, [&](auto& entry) {
        if (std::find(addresses.begin(), addresses.end(), entry.first) != addresses.end()) {
            return false;
        }
        nng_dialer_close(entry.second.dialer);
        return true;
    });
    const time_ms now = monotonic_now();
    if (impl_->open) {
        impl_->publisher->set_known_hosts(ips_of(addresses));
    }
    for (const auto& address : addresses) {
        const auto [entry, is_new] = impl_->peers.try_emplace(address);
        peer_subscription& peer = entry->second;
        if (is_new) {
            peer.last_heard_at = now;
            impl_->dial(address, peer);
        } else if (now > peer.last_heard_at + silence_timeout_ms &&
                   now > peer.dialled_at + silence_timeout_ms + redial_pause_ms) {
            nng_dialer_close(peer.dialer);
            impl_->dial(address, peer);
        }
    }
}

} // namespace fulmarworks
