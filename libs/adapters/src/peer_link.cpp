#include "adapters/peer_link.h"

#include "http/http_server.h"
#include "peer_publisher.h"
#include "peer_subscription.h"

#include <algorithm>
#include <map>

namespace fulmarworks {

namespace {

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
    event_loop& loop;
    message_handler on_message;
    std::unique_ptr<peer_publisher> publisher;
    std::map<std::string, std::unique_ptr<peer_subscription>> subscriptions;
    bool open = true;

    impl(event_loop& l, message_handler handler) : loop(l), on_message(std::move(handler)) {}

    void receive(std::string_view text) const {
        const auto parsed = parse_json(text);
        if (!parsed) {
            return;
        }
        if (const auto message = decode_json<peer_message>(parsed.value())) {
            on_message(message.value());
        }
    }
};

result<std::unique_ptr<peer_link>> peer_link::listen(event_loop& loop, const std::string& address,
                                                     std::size_t max_subscribers,
                                                     message_handler on_message) {
    auto i = std::make_unique<impl>(loop, std::move(on_message));
    auto publisher = peer_publisher::listen(loop, address, max_subscribers);
    if (!publisher) {
        return publisher.error();
    }
    i->publisher = std::move(publisher.value());
    return std::unique_ptr<peer_link>(new peer_link(std::move(i)));
}

peer_link::peer_link(std::unique_ptr<impl> i) : impl_(std::move(i)) {}

peer_link::~peer_link() = default;

void peer_link::close() {
    impl_->open = false;
    impl_->publisher.reset();
    impl_->subscriptions.clear();
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
    if (!impl_->open) {
        return;
    }
    impl_->publisher->set_known_hosts(ips_of(addresses));
    std::erase_if(impl_->subscriptions, [&](const auto& entry) {
        return std::find(addresses.begin(), addresses.end(), entry.first) == addresses.end();
    });
    for (const auto& address : addresses) {
        auto& subscription = impl_->subscriptions[address];
        if (subscription) {
            subscription->maintain();
        } else {
            subscription = std::make_unique<peer_subscription>(
                impl_->loop, address,
                [i = impl_.get()](std::string_view text) { i->receive(text); });
        }
    }
}

} // namespace fulmarworks
