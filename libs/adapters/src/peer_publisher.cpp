#include "peer_publisher.h"

#include "http/tcp_stream.h"
#include "pubsub_protocol.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <list>
#include <tuple>

namespace fulmarworks {

namespace {

/** Time for a subscriber to send its greeting. */
constexpr time_ms greeting_timeout_ms = 2000;
/** Bytes from which a subscriber misses messages. */
constexpr std::size_t max_unsent_bytes = std::size_t{64} * 1024;
constexpr socket_buffers connection_buffers = {4 * 1024, 64 * 1024};
constexpr time_ms accept_pause_ms = 100;

std::string ip_of(const sockaddr* address) {
    std::string text(INET_ADDRSTRLEN, '\0');
    inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in*>(address)->sin_addr, text.data(),
              INET_ADDRSTRLEN);
    text.resize(text.find('\0'));
    return text;
}

} // namespace

struct peer_publisher::impl {
    struct subscriber {
        impl* owner = nullptr;
        bufferevent* stream = nullptr;
        std::string ip;
        bool greeted = false;
        time_ms accepted_at_ms = 0;
        std::list<subscriber>::iterator position;
    };

    event_base* base = nullptr;
    evconnlistener* listener = nullptr;
    event* accept_timer = nullptr;
    std::size_t max_connections = 0;
    std::set<std::string> known_hosts;
    std::list<subscriber> subscribers;
    std::uint64_t rejected = 0;

    explicit impl(event_base* b) : base(b) {
        accept_timer = event_new(
            base, -1, 0,
            [](evutil_socket_t, short, void* self) {
                evconnlistener_enable(static_cast<impl*>(self)->listener);
            },
            this);
    }

    ~impl() {
        if (listener != nullptr) {
            evconnlistener_free(listener);
        }
        while (!subscribers.empty()) {
            remove(subscribers.front());
        }
        event_free(accept_timer);
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void remove(const subscriber& s) {
        shut_stream(s.stream);
        bufferevent_free(s.stream);
        subscribers.erase(s.position);
    }

    void reject(const subscriber& s) {
        ++rejected;
        remove(s);
    }

    /** Closes the connection that is given up first; returns whether there was one. */
    bool remove_one() {
        const auto rank = [this](const subscriber& s) {
            return std::tuple(s.greeted, known_hosts.contains(s.ip), s.accepted_at_ms);
        };
        const auto first =
            std::min_element(subscribers.begin(), subscribers.end(),
                             [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
        if (first == subscribers.end() || (first->greeted && known_hosts.contains(first->ip))) {
            return false;
        }
        reject(*first);
        return true;
    }

    static void accepted(evconnlistener*, evutil_socket_t descriptor, sockaddr* address, int,
                         void* argument) {
        static_cast<impl*>(argument)->accept(descriptor, ip_of(address));
    }

    void accept(evutil_socket_t descriptor, std::string ip) {
        if (subscribers.size() >= max_connections && !remove_one()) {
            ++rejected;
            evutil_closesocket(descriptor);
            return;
        }
        bufferevent* stream = bufferevent_socket_new(base, descriptor, 0);
        if (stream == nullptr) {
            evutil_closesocket(descriptor);
            return;
        }
        subscribers.push_back({this, stream, std::move(ip), false, monotonic_now(), {}});
        subscriber& s = subscribers.back();
        s.position = std::prev(subscribers.end());
        bufferevent_setcb(stream, readable, nullptr, ended, &s);
        bufferevent_setwatermark(stream, EV_READ, 0, 2 * greeting_bytes);
        bufferevent_write(stream, publisher_greeting.data(), publisher_greeting.size());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }

    /** The listener would report the same connection again at once. */
    static void accept_failed(evconnlistener* listener, void* argument) {
        evconnlistener_disable(listener);
        constexpr timeval pause = {0, accept_pause_ms * 1000};
        event_add(static_cast<impl*>(argument)->accept_timer, &pause);
    }

    static void readable(bufferevent* stream, void* argument) {
        auto* s = static_cast<subscriber*>(argument);
        evbuffer* input = bufferevent_get_input(stream);
        const std::size_t size = evbuffer_get_length(input);
        if (!s->greeted && size < greeting_bytes) {
            return;
        }
        std::string text(size, '\0');
        evbuffer_remove(input, text.data(), size);
        // Subscribers send nothing after their greeting.
        if (s->greeted || text != subscriber_greeting) {
            s->owner->reject(*s);
            return;
        }
        s->greeted = true;
    }

    static void ended(bufferevent*, short, void* argument) {
        auto* s = static_cast<subscriber*>(argument);
        s->owner->remove(*s);
    }

    void remove_silent() {
        const time_ms oldest = monotonic_now() - greeting_timeout_ms;
        for (auto next = subscribers.begin(); next != subscribers.end();) {
            const subscriber& s = *next++; // `remove` erases it
            if (!s.greeted && s.accepted_at_ms < oldest) {
                reject(s);
            }
        }
    }

    void publish(std::string_view message) {
        remove_silent();
        const std::string length = encode_length(message.size());
        for (const subscriber& s : subscribers) {
            evbuffer* output = bufferevent_get_output(s.stream);
            if (s.greeted && evbuffer_get_length(output) <= max_unsent_bytes) {
                evbuffer_add(output, length.data(), length.size());
                evbuffer_add(output, message.data(), message.size());
            }
        }
    }
};

result<std::unique_ptr<peer_publisher>>
peer_publisher::listen(event_loop& loop, const std::string& address, std::size_t max_connections) {
    const auto parsed = parse_address(address);
    if (!parsed) {
        return parsed.error();
    }
    auto i = std::make_unique<impl>(loop.base());
    i->max_connections = max_connections;
    i->listener =
        listen_on(loop.base(), parsed.value(), connection_buffers, impl::accepted, i.get());
    if (i->listener == nullptr) {
        return error{error_kind::unavailable, "cannot listen on " + address,
                     "free the port or change peer_address in the settings"};
    }
    evconnlistener_set_error_cb(i->listener, impl::accept_failed);
    return std::unique_ptr<peer_publisher>(new peer_publisher(std::move(i)));
}

peer_publisher::peer_publisher(std::unique_ptr<impl> i) : impl_(std::move(i)) {}

peer_publisher::~peer_publisher() = default;

void peer_publisher::publish(std::string_view message) {
    impl_->publish(message);
}

void peer_publisher::set_known_hosts(std::set<std::string> ips) {
    impl_->known_hosts = std::move(ips);
}

std::uint64_t peer_publisher::rejected_connections() const {
    return impl_->rejected;
}

} // namespace fulmarworks
