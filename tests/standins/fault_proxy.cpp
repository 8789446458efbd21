#include "fault_proxy.h"

#include <algorithm>
#include <arpa/inet.h>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>

namespace fulmarworks {

namespace {

sockaddr_in to_sockaddr(const socket_address& a) {
    sockaddr_in result = {};
    result.sin_family = AF_INET;
    result.sin_port = htons(a.port);
    inet_pton(AF_INET, a.ip.c_str(), &result.sin_addr);
    return result;
}

} // namespace

struct fault_proxy::impl {
    /** A client connection and the matching connection to the target. */
    struct connection_pair {
        impl* proxy = nullptr;
        bufferevent* client = nullptr;
        bufferevent* target = nullptr;
        proxy_fault fault = proxy_fault::none;
        /** Distinguishes the pair from an earlier one at the same address in memory. */
        std::uint64_t number = 0;
        /** Data that is delayed, in order, and the time at which the last of it is due. */
        std::deque<std::string> delayed_to_client;
        std::deque<std::string> delayed_to_target;
        time_ms last_due_ms = 0;
    };

    event_loop& loop;
    sockaddr_in target = {};
    evconnlistener* listener = nullptr;
    proxy_fault fault = proxy_fault::none;
    time_ms delay_ms = 0;
    std::set<connection_pair*> pairs;
    std::uint64_t next_number = 1;

    explicit impl(event_loop& l) : loop(l) {}

    ~impl() {
        evconnlistener_free(listener);
        while (!pairs.empty()) {
            close(*pairs.begin());
        }
    }

    void close(connection_pair* p) {
        pairs.erase(p);
        bufferevent_free(p->client);
        bufferevent_free(p->target);
        delete p;
    }

    void forward(connection_pair* p, bufferevent* from, bufferevent* to) {
        evbuffer* input = bufferevent_get_input(from);
        const bool is_answer = from == p->target;
        if (p->fault == proxy_fault::silent ||
            (p->fault == proxy_fault::lose_answers && is_answer)) {
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        auto& delayed = is_answer ? p->delayed_to_client : p->delayed_to_target;
        if (p->fault != proxy_fault::delay && delayed.empty()) {
            bufferevent_write_buffer(to, input);
            return;
        }
        std::string data(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, data.data(), data.size());
        delayed.push_back(std::move(data));
        const time_ms delay = p->fault == proxy_fault::delay ? delay_ms : 0;
        p->last_due_ms = std::max(p->last_due_ms, monotonic_now() + delay);
        loop.after(p->last_due_ms - monotonic_now(), [this, p, number = p->number, is_answer] {
            if (pairs.contains(p) && p->number == number) {
                send_delayed(p, is_answer);
            }
        });
    }

    void send_delayed(connection_pair* p, bool is_answer) {
        auto& delayed = is_answer ? p->delayed_to_client : p->delayed_to_target;
        const std::string& data = delayed.front();
        bufferevent_write(is_answer ? p->client : p->target, data.data(), data.size());
        delayed.pop_front();
    }

    static void on_read(bufferevent* from, void* argument) {
        auto* p = static_cast<connection_pair*>(argument);
        p->proxy->forward(p, from, from == p->client ? p->target : p->client);
    }

    static void on_event(bufferevent*, short what, void* argument) {
        auto* p = static_cast<connection_pair*>(argument);
        const bool ended = (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
        // A silent connection does not pass on that its other end has closed.
        if (ended && p->fault != proxy_fault::silent) {
            p->proxy->close(p);
        }
    }

    void accept(evutil_socket_t descriptor) {
        auto* p = new connection_pair{this, nullptr, nullptr, fault, next_number++, {}, {}, 0};
        p->client = bufferevent_socket_new(loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
        p->target = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        pairs.insert(p);
        bufferevent_setcb(p->client, on_read, nullptr, on_event, p);
        bufferevent_setcb(p->target, on_read, nullptr, on_event, p);
        bufferevent_enable(p->client, EV_READ | EV_WRITE);
        bufferevent_enable(p->target, EV_READ | EV_WRITE);
        const int connected = bufferevent_socket_connect(
            p->target, reinterpret_cast<sockaddr*>(&target), sizeof target);
        if (connected != 0 || fault == proxy_fault::cut) {
            close(p);
        }
    }

    static void on_accept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
                          void* argument) {
        static_cast<impl*>(argument)->accept(descriptor);
    }
};

result<std::unique_ptr<fault_proxy>>
fault_proxy::listen(event_loop& loop, const std::string& address, const std::string& target) {
    const auto from = parse_address(address);
    const auto to = parse_address(target);
    if (!from || !to) {
        return from ? to.error() : from.error();
    }
    auto i = std::make_unique<impl>(loop);
    i->target = to_sockaddr(to.value());
    const sockaddr_in bound = to_sockaddr(from.value());
    constexpr int backlog = 128;
    i->listener = evconnlistener_new_bind(loop.base(), impl::on_accept, i.get(),
                                          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
                                          reinterpret_cast<const sockaddr*>(&bound), sizeof bound);
    if (i->listener == nullptr) {
        i.release(); // NOLINT: the destructor requires a listener.
        return error{error_kind::unavailable, "cannot listen on " + address, "free the port"};
    }
    return std::unique_ptr<fault_proxy>(new fault_proxy(std::move(i)));
}

fault_proxy::fault_proxy(std::unique_ptr<impl> i) : impl_(std::move(i)) {}

fault_proxy::~fault_proxy() = default;

void fault_proxy::set_fault(proxy_fault fault, time_ms delay_ms, bool open_only) {
    impl_->delay_ms = delay_ms;
    impl_->fault = open_only ? proxy_fault::none : fault;
    if (fault == proxy_fault::cut) {
        while (!impl_->pairs.empty()) {
            impl_->close(*impl_->pairs.begin());
        }
    }
    for (auto* p : impl_->pairs) {
        // A silent connection stays silent until it is closed.
        if (p->fault != proxy_fault::silent) {
            p->fault = fault;
        }
    }
}

} // namespace fulmarworks
