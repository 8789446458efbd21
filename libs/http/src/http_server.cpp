#include "http/http_server.h"

#include "client_connection.h"
#include "http/client_memory.h"
#include "http/tcp_stream.h"
#include "load_shedding.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <unordered_map>

namespace fulmarworks {

namespace {

/** The receive buffer holds what a client sends ahead beyond one head. */
constexpr socket_buffers connection_buffers = {32 * 1024, 64 * 1024};
constexpr time_ms sweep_interval_ms = 500;
/** Time without accepting after the process has run out of descriptors. */
constexpr time_ms accept_pause_ms = 100;
/** Time after which a request whose client has left is taken for processed. */
constexpr time_ms max_abandoned_ms = 120 * milliseconds_per_second;
constexpr std::size_t default_memory_bytes = std::size_t{64} * 1024 * 1024;

timeval to_timeval(time_ms duration) {
    return {static_cast<time_t>(duration / milliseconds_per_second),
            static_cast<suseconds_t>(duration % milliseconds_per_second * 1000)};
}

} // namespace

struct http_server::impl {
    event_base* base = nullptr;
    evconnlistener* listener = nullptr;
    /** Closes connections that take too long; pending while there are connections. */
    event* sweep_timer = nullptr;
    /** Destroys closed connections, outside of their callbacks. */
    event* cleanup = nullptr;
    event* accept_timer = nullptr;
    bool draining = false;
    std::uint64_t next_id = 1;
    std::size_t max_connections = 0;
    std::size_t max_open_requests = 0;
    connection_limits limits;
    std::vector<std::string> headers;
    std::shared_ptr<client_memory> memory;
    connection_handlers handlers;
    std::unordered_map<std::uint64_t, std::unique_ptr<client_connection>> connections;
    std::vector<std::unique_ptr<client_connection>> closed;
    /** Connections by the tokens of their open requests, and the reverse. */
    std::unordered_map<std::uint64_t, client_connection*> connection_by_token;
    std::unordered_map<const client_connection*, std::uint64_t> token_by_connection;
    struct abandoned_request {
        std::size_t bytes = 0;
        time_ms since_ms = 0;
    };
    /** Requests whose clients have left, but that are still being processed; by token. */
    std::unordered_map<std::uint64_t, abandoned_request> abandoned;
    time_ms swept_at_ms = 0;
    request_handler on_request;
    gone_handler on_gone;
    limit_handler on_limit;

    explicit impl(event_base* b) : base(b) {
        sweep_timer = new_timer(&impl::sweep);
        cleanup = new_timer(&impl::destroy_closed);
        accept_timer = new_timer(&impl::resume_accepting);
        handlers.on_request = [this](client_connection& c, const http_request& r) {
            handle_request(c, r);
        };
        handlers.has_capacity = [this] {
            return connection_by_token.size() + abandoned.size() < max_open_requests;
        };
        handlers.on_gone = [this](client_connection& c, std::size_t bytes) {
            handle_gone(c, bytes);
        };
        handlers.on_limit = [this](client_limit l) { report(l); };
        handlers.on_closed = [this](client_connection& c) { retire(c); };
    }

    ~impl() {
        if (listener != nullptr) {
            evconnlistener_free(listener);
        }
        connections.clear();
        closed.clear();
        for (const auto& [token, request] : abandoned) {
            memory->release(request.bytes);
        }
        event_free(sweep_timer);
        event_free(cleanup);
        event_free(accept_timer);
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    /** Returns an event that calls a member function once each time that it is scheduled. */
    event* new_timer(void (impl::*function)()) {
        timer_calls.push_back(std::make_unique<timer_call>(timer_call{this, function}));
        return event_new(
            base, -1, 0,
            [](evutil_socket_t, short, void* argument) {
                const auto* c = static_cast<timer_call*>(argument);
                (c->self->*c->function)();
            },
            timer_calls.back().get());
    }

    struct timer_call {
        impl* self = nullptr;
        void (impl::*function)() = nullptr;
    };
    std::vector<std::unique_ptr<timer_call>> timer_calls;

    void report(client_limit limit) const {
        if (on_limit) {
            on_limit(limit);
        }
    }

    static void accepted(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
                         void* argument) {
        static_cast<impl*>(argument)->accept(descriptor);
    }

    void accept(evutil_socket_t descriptor) {
        if (connections.size() >= max_connections && !close_one()) {
            report(client_limit::connections);
            evutil_closesocket(descriptor);
            return;
        }
        bufferevent* stream = bufferevent_socket_new(base, descriptor, 0);
        if (stream == nullptr) {
            evutil_closesocket(descriptor);
            return;
        }
        if (connections.empty() && abandoned.empty()) {
            swept_at_ms = monotonic_now();
            schedule(sweep_timer, sweep_interval_ms);
        }
        const std::uint64_t id = next_id++;
        auto& connection = connections[id];
        connection =
            std::make_unique<client_connection>(stream, id, limits, headers, handlers, *memory);
        connection->start();
    }

    /** Closes one connection for a new one; returns whether there was one to close. */
    bool close_one() {
        std::vector<client_connection*> candidates;
        std::vector<connection_load> loads;
        for (const auto& [id, connection] : connections) {
            candidates.push_back(connection.get());
            loads.push_back(connection->load());
        }
        const auto chosen = choose_for_slot(loads);
        if (chosen) {
            candidates[*chosen]->give_up(client_limit::connections);
            destroy_closed();
        }
        return chosen.has_value();
    }

    /** Runs when a connection can't be accepted, mostly for want of descriptors. The connection
     * stays in the backlog, so the listener would report it again at once. */
    static void accept_failed(evconnlistener* listener, void* argument) {
        auto* self = static_cast<impl*>(argument);
        evconnlistener_disable(listener);
        self->report(client_limit::descriptors);
        self->schedule(self->accept_timer, accept_pause_ms);
    }

    void resume_accepting() {
        if (listener != nullptr) {
            evconnlistener_enable(listener);
        }
    }

    static void schedule(event* timer, time_ms delay_ms) {
        const timeval delay = to_timeval(delay_ms);
        event_add(timer, &delay);
    }

    void handle_request(client_connection& connection, const http_request& request) {
        const std::uint64_t token = next_id++;
        connection_by_token[token] = &connection;
        token_by_connection[&connection] = token;
        on_request(request, token);
    }

    /** Forgets the open request of a connection; returns its token. */
    std::uint64_t forget_request(const client_connection& connection) {
        const auto found = token_by_connection.find(&connection);
        const std::uint64_t token = found->second;
        token_by_connection.erase(found);
        connection_by_token.erase(token);
        return token;
    }

    void handle_gone(const client_connection& connection, std::size_t bytes) {
        const std::uint64_t token = forget_request(connection);
        if (on_gone) {
            on_gone(token);
        } else if (bytes > 0) {
            abandoned[token] = {bytes, monotonic_now()};
            memory->hold(bytes);
        }
    }

    /** Ends the account of a request whose client has left. */
    void release_abandoned(std::uint64_t token) {
        const auto found = abandoned.find(token);
        if (found != abandoned.end()) {
            memory->release(found->second.bytes);
            abandoned.erase(found);
        }
    }

    void expire_abandoned(time_ms now) {
        std::vector<std::uint64_t> expired;
        for (const auto& [token, request] : abandoned) {
            if (now - request.since_ms > max_abandoned_ms) {
                expired.push_back(token);
            }
        }
        for (const std::uint64_t token : expired) {
            release_abandoned(token);
        }
    }

    void retire(const client_connection& connection) {
        const auto found = connections.find(connection.id());
        closed.push_back(std::move(found->second));
        connections.erase(found);
        event_active(cleanup, EV_TIMEOUT, 0);
    }

    void destroy_closed() { closed.clear(); }

    void sweep() {
        const time_ms now = monotonic_now();
        // Time in which this process wasn't run isn't the clients'.
        const time_ms missed_ms = now - swept_at_ms - 2 * sweep_interval_ms;
        swept_at_ms = now;
        std::vector<client_connection*> all;
        for (const auto& [id, connection] : connections) {
            all.push_back(connection.get());
        }
        for (client_connection* connection : all) {
            if (missed_ms > 0) {
                connection->extend_phase(missed_ms);
            }
            connection->check_timeouts(now);
        }
        expire_abandoned(now);
        if (!connections.empty() || !abandoned.empty()) {
            schedule(sweep_timer, sweep_interval_ms);
        }
    }

    void respond(std::uint64_t token, http_response response) {
        const auto found = connection_by_token.find(token);
        if (found == connection_by_token.end()) {
            release_abandoned(token);
            return;
        }
        client_connection& connection = *found->second;
        forget_request(connection);
        const bool close_connection = draining || response.close_connection;
        connection.respond(std::move(response), close_connection);
    }
};

http_server::http_server(std::unique_ptr<impl> i) : impl_(std::move(i)) {}

http_server::~http_server() {
    impl_->on_gone = nullptr;
}

void http_server::respond(std::uint64_t token, http_response response) {
    impl_->respond(token, std::move(response));
}

void http_server::drain() {
    impl_->draining = true;
}

void http_server::stop_listening() {
    drain();
    if (impl_->listener != nullptr) {
        evconnlistener_free(impl_->listener);
        impl_->listener = nullptr;
    }
}

std::size_t http_server::open_requests() const {
    return impl_->connection_by_token.size();
}

std::size_t http_server::open_connections() const {
    return impl_->connections.size();
}

void http_server::set_max_body_bytes(std::uint64_t value) {
    impl_->limits.request.max_body_bytes = value;
}

result<std::unique_ptr<http_server>> http_server::Builder::build(event_loop& loop) {
    const auto parsed = parse_address(address_);
    if (!parsed) {
        return parsed.error();
    }
    auto i = std::make_unique<impl>(loop.base());
    i->max_connections = max_connections_;
    i->max_open_requests = max_open_requests_;
    i->limits.request = {max_head_bytes_, max_body_bytes_};
    i->limits.idle_timeout_ms = idle_timeout_ms_;
    i->limits.transfer_timeout_ms = transfer_timeout_ms_;
    i->headers = std::move(headers_);
    i->memory = memory_ ? memory_ : std::make_shared<client_memory>(default_memory_bytes);
    i->on_request = std::move(on_request_);
    i->on_gone = std::move(on_gone_);
    i->on_limit = std::move(on_limit_);
    i->listener =
        listen_on(loop.base(), parsed.value(), connection_buffers, impl::accepted, i.get());
    if (i->listener == nullptr) {
        return error{error_kind::unavailable, "cannot listen on " + address_,
                     "free the port or change the address in the settings"};
    }
    evconnlistener_set_error_cb(i->listener, impl::accept_failed);
    return std::unique_ptr<http_server>(new http_server(std::move(i)));
}

} // namespace fulmarworks
