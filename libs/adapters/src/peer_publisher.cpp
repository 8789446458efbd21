#include "peer_publisher.h"

#include "http/http_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <list>
#include <tuple>

namespace fulmarworks {

namespace {

constexpr std::string_view publisher_greeting("\0SP\0\0\x20\0\0", 8);
constexpr std::string_view subscriber_greeting("\0SP\0\0\x21\0\0", 8);
/** Time for a subscriber to send its greeting. */
constexpr time_ms greeting_timeout_ms = 2000;
/** Bytes from which a subscriber misses messages. */
constexpr std::size_t max_unsent_bytes = std::size_t{64} * 1024;
constexpr int send_buffer_bytes = 64 * 1024;
constexpr int receive_buffer_bytes = 4 * 1024;
constexpr time_ms accept_pause_ms = 100;

/** Returns a message's length as 64 bits, big-endian. */
std::string encode_length(std::uint64_t bytes) {
    std::string text;
    for (int shift = 56; shift >= 0; shift -= 8) {
        text += static_cast<char>(bytes >> shift & 0xff);
    }
    return text;
}

sockaddr_in to_sockaddr(const socket_address& where) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port);
    inet_pton(AF_INET, where.ip.c_str(), &address.sin_addr);
    return address;
}

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
        bufferevent_setcb(s.stream, nullptr, nullptr, nullptr, nullptr);
        // Removes the watermark, by which a stream that isn't read would outlive its owner.
        bufferevent_setwatermark(s.stream, EV_READ, 0, 0);
        const evutil_socket_t descriptor = bufferevent_getfd(s.stream);
        bufferevent_setfd(s.stream, -1);
        evutil_closesocket(descriptor);
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
        bufferevent_setwatermark(stream, EV_READ, 0, 2 * subscriber_greeting.size());
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
        if (!s->greeted && size < subscriber_greeting.size()) {
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
    const sockaddr_in where = to_sockaddr(parsed.value());
    constexpr unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    constexpr int backlog = 128;
    i->listener = evconnlistener_new_bind(loop.base(), impl::accepted, i.get(), flags, backlog,
                                          reinterpret_cast<const sockaddr*>(&where), sizeof where);
    if (i->listener == nullptr) {
        return error{error_kind::unavailable, "cannot listen on " + address,
                     "free the port or change peer_address in the settings"};
    }
    // Accepted connections inherit these options.
    const evutil_socket_t descriptor = evconnlistener_get_fd(i->listener);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes, sizeof send_buffer_bytes);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof receive_buffer_bytes);
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
