#include "http/http_client.h"

#include "attentive_clock.h"
#include "evhttp_messages.h"
#include "http/http_server.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace fulmarworks {

namespace {

constexpr std::size_t max_idle_connections_per_address = 8;
constexpr ev_ssize_t max_answer_bytes = 64 * 1024 * 1024;
constexpr ev_ssize_t max_answer_head_bytes = 64 * 1024;
/** Interval between checks for calls that have reached their timeout. */
constexpr time_ms timeout_check_interval_ms = 20;
/** Interval between checks for connections that have been idle for too long. */
constexpr time_ms idle_check_interval_ms = 500;
/** Time after which an idle connection is closed. */
constexpr time_ms max_idle_ms = 2000;
/** Multiple of its timeout up to which a call whose answer keeps arriving is waited for. */
constexpr time_ms max_timeout_multiple = 8;
/** Multiple of its timeout, by the monotonic clock, after which a call counts as overdue in a
 * process that is rarely run. */
constexpr time_ms overdue_multiple = 3;
/** Interval between checks for overdue calls. */
constexpr time_ms overdue_check_interval_ms = 200;
/** Timeout of evhttp, which never ends a call: a call's own timeout is checked first. */
constexpr timeval unused_timeout = {24L * 60 * 60, 0};

} // namespace

struct http_client::impl {
    struct open_call {
        impl* client = nullptr;
        evhttp_connection* connection = nullptr;
        std::string address;
        traffic_counts* traffic = nullptr;
        answer_handler on_answer;
        evhttp_request* request = nullptr;
        time_ms timeout_ms = 0;
        /** Time on `clock` from which the call is given up unless more input has arrived. */
        time_ms timeout_at = 0;
        /** Time on `clock` from which it is given up in any case. */
        time_ms given_up_at = 0;
        /** Monotonic time at which the call was made. */
        time_ms made_at = 0;
        /** Bytes of the answer that had been read when `timeout_at` was set. */
        std::size_t bytes_read = 0;
        /** Whether it was overdue by the monotonic clock at the last check. */
        bool overdue = false;
        time_ms send_until_ms = 0;
        /** Null unless the request has a limit. */
        evbuffer_cb_entry* send_watch = nullptr;
        /** Whether it was given up before any of it was sent. */
        bool not_sent = false;
    };

    struct idle_connection {
        evhttp_connection* connection = nullptr;
        /** Monotonic time: a process that is rarely run must not keep more descriptors. */
        time_ms idle_since = 0;
    };

    event_loop& loop;
    std::unordered_map<std::string, std::vector<idle_connection>> idle_connections;
    std::unordered_set<open_call*> open_calls;
    /** Open calls in the order of their timeouts. */
    std::set<std::pair<time_ms, open_call*>> timeouts;
    std::unordered_set<evhttp_connection*> closing_connections;
    traffic_meter traffic;
    /** Whether `send` runs. A connection that fails at once, such as one to an address without a
     * route, completes its request within that call, and handlers must not run before it returns.
     */
    bool sending = false;
    attentive_clock clock{monotonic_now()};
    time_ms idle_checked_at = 0;
    time_ms overdue_checked_at = 0;
    event* timeout_check = nullptr;
    /** Tells a loop over handlers that one of them destroyed the client. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    explicit impl(event_loop& l) : loop(l) {
        const timeval interval = {0, timeout_check_interval_ms * 1000};
        timeout_check = event_new(
            loop.base(), -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<impl*>(self)->check_timeouts(); },
            this);
        event_add(timeout_check, &interval);
    }

    ~impl() {
        event_free(timeout_check);
        for (auto* call : open_calls) {
            call->client = nullptr;
        }
        for (auto& [address, connections] : idle_connections) {
            for (const auto& idle : connections) {
                evhttp_connection_free(idle.connection);
            }
        }
        // Iterates over a copy because freeing a connection runs `completed`, which uses
        // `open_calls`.
        const auto open = open_calls;
        for (auto* call : open) {
            stop_watching(*call);
            evhttp_connection_free(call->connection);
            delete call;
        }
        for (auto* connection : closing_connections) {
            evhttp_connection_free(connection);
        }
    }

    /** Returns an idle or a new connection, or nullptr if the address is invalid. */
    evhttp_connection* acquire_connection(const std::string& address, traffic_counts& counts) {
        auto& available = idle_connections[address];
        if (!available.empty()) {
            evhttp_connection* connection = available.back().connection;
            available.pop_back();
            return connection;
        }
        const auto parsed = parse_address(address);
        if (!parsed) {
            return nullptr;
        }
        const socket_address& where = parsed.value();
        evhttp_connection* connection =
            evhttp_connection_base_new(loop.base(), nullptr, where.ip.c_str(), where.port);
        evhttp_connection_set_timeout_tv(connection, &unused_timeout);
        evhttp_connection_set_max_body_size(connection, max_answer_bytes);
        evhttp_connection_set_max_headers_size(connection, max_answer_head_bytes);
        evhttp_connection_set_retries(connection, 0);
        ++counts.connections_opened;
        return connection;
    }

    /** Frees a connection from the loop, because evhttp doesn't allow it in the connection's own
     * callback. */
    void close_later(evhttp_connection* connection) {
        closing_connections.insert(connection);
        loop.after(0, [this, connection, self_alive = std::weak_ptr(alive)] {
            if (!self_alive.expired()) {
                closing_connections.erase(connection);
                evhttp_connection_free(connection);
            }
        });
    }

    static evbuffer* output_of(evhttp_connection* connection) {
        return bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    }

    /** Runs when evhttp passes the request to its connection, which it does once that is open. */
    static void passing_request(evbuffer*, const evbuffer_cb_info* change, void* argument) {
        auto* call = static_cast<open_call*>(argument);
        if (change->n_added > 0 && boottime_now() > call->send_until_ms) {
            call->not_sent = true;
            // Nothing is written after this, and evhttp fails the request.
            ::shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(call->connection)),
                       SHUT_RDWR);
        }
    }

    static void watch_sending(open_call& call, time_ms send_until_ms) {
        call.send_until_ms = send_until_ms;
        if (send_until_ms != 0) {
            call.send_watch = evbuffer_add_cb(output_of(call.connection), passing_request, &call);
        }
    }

    static void stop_watching(open_call& call) {
        if (call.send_watch != nullptr) {
            evbuffer_remove_cb_entry(output_of(call.connection), call.send_watch);
            call.send_watch = nullptr;
        }
    }

    static void completed(evhttp_request* request, void* argument) {
        auto* call = static_cast<open_call*>(argument);
        impl* client = call->client;
        if (client == nullptr) {
            return;
        }
        stop_watching(*call);
        http_answer answer = read_answer(request);
        answer.not_sent = call->not_sent;
        client->forget(call);
        call->traffic->bytes_received += answer.body.size() + header_bytes(request, true);
        auto& available = client->idle_connections[call->address];
        if (answer.status != 0 && available.size() < max_idle_connections_per_address) {
            available.push_back({call->connection, monotonic_now()});
        } else {
            client->close_later(call->connection);
        }
        auto handler = std::move(call->on_answer);
        delete call;
        if (client->sending) {
            client->loop.after(0, [handler = std::move(handler), answer] { handler(answer); });
        } else {
            handler(answer);
        }
    }

    void forget(open_call* call) {
        open_calls.erase(call);
        timeouts.erase({call->timeout_at, call});
    }

    /** Extends a call whose answer is arriving; returns whether it was extended. */
    bool extend(open_call* call, time_ms now) {
        const std::size_t read = bytes_read(call->connection, call->request);
        if (now >= call->given_up_at ||
            (read <= call->bytes_read && !has_unread_input(call->connection))) {
            return false;
        }
        call->bytes_read = read;
        timeouts.erase({call->timeout_at, call});
        call->timeout_at = std::min(now + call->timeout_ms, call->given_up_at);
        timeouts.emplace(call->timeout_at, call);
        return true;
    }

    /** Returns the calls that were overdue at this and the last check, without input in between.
     * A process that is rarely run would otherwise wait for lost answers many times as long. */
    std::vector<open_call*> find_overdue(time_ms monotonic_ms) {
        std::vector<open_call*> found;
        for (open_call* call : open_calls) {
            const bool overdue =
                monotonic_ms - call->made_at >= overdue_multiple * call->timeout_ms &&
                bytes_read(call->connection, call->request) <= call->bytes_read &&
                !has_unread_input(call->connection);
            if (overdue && call->overdue) {
                found.push_back(call);
            }
            call->overdue = overdue;
        }
        return found;
    }

    /** Returns the calls that have reached their timeout. */
    std::vector<open_call*> find_timed_out(time_ms now) {
        std::vector<open_call*> due;
        for (auto next = timeouts.begin(); next != timeouts.end() && next->first <= now; ++next) {
            due.push_back(next->second);
        }
        std::erase_if(due, [&](open_call* call) { return extend(call, now); });
        return due;
    }

    /** Closes the call's connection and returns its handler. */
    answer_handler give_up(open_call* call) {
        forget(call);
        auto handler = std::move(call->on_answer);
        stop_watching(*call);
        call->client = nullptr; // freeing the connection may run `completed`
        evhttp_connection_free(call->connection);
        delete call;
        return handler;
    }

    /**
     * Gives up the calls that have reached their timeout.
     *
     * Timeouts of evhttp would end calls whose answers have arrived: after a stall of the process
     * both are due, and libevent drops the readiness of a descriptor whose timer has run out.
     */
    void check_timeouts() {
        const time_ms monotonic = monotonic_now();
        clock.advance(monotonic);
        std::vector<answer_handler> given_up;
        for (open_call* call : find_timed_out(clock.now())) {
            given_up.push_back(give_up(call));
        }
        if (monotonic - overdue_checked_at >= overdue_check_interval_ms) {
            overdue_checked_at = monotonic;
            for (open_call* call : find_overdue(monotonic)) {
                given_up.push_back(give_up(call));
            }
        }
        if (monotonic - idle_checked_at >= idle_check_interval_ms) {
            idle_checked_at = monotonic;
            close_idle_connections();
        }
        const std::weak_ptr<bool> self_alive = alive;
        for (const auto& handler : given_up) {
            if (self_alive.expired()) {
                return;
            }
            handler({});
        }
    }

    void close_idle_connections() {
        const time_ms oldest = monotonic_now() - max_idle_ms;
        for (auto& [address, connections] : idle_connections) {
            // The longest idle ones are at the front.
            const auto first_kept =
                std::find_if(connections.begin(), connections.end(),
                             [oldest](const auto& idle) { return idle.idle_since >= oldest; });
            std::for_each(connections.begin(), first_kept,
                          [](const auto& idle) { evhttp_connection_free(idle.connection); });
            connections.erase(connections.begin(), first_kept);
        }
        std::erase_if(idle_connections, [](const auto& entry) { return entry.second.empty(); });
    }

    void send(const http_call& call, answer_handler on_answer) {
        if (call.send_until_ms != 0 && boottime_now() > call.send_until_ms) {
            loop.after(0, [on_answer] {
                http_answer late;
                late.not_sent = true;
                on_answer(late);
            });
            return;
        }
        traffic_counts& counts = traffic.of(call.kind);
        evhttp_connection* connection = acquire_connection(call.address, counts);
        if (connection == nullptr) {
            loop.after(0, [on_answer] { on_answer({}); });
            return;
        }
        const time_ms timeout_at = clock.at(monotonic_now()) + call.timeout_ms;
        auto* open = new open_call{};
        open->client = this;
        open->connection = connection;
        open->address = call.address;
        open->traffic = &counts;
        open->on_answer = std::move(on_answer);
        open->timeout_ms = call.timeout_ms;
        open->timeout_at = timeout_at;
        open->given_up_at = timeout_at + (max_timeout_multiple - 1) * call.timeout_ms;
        open->made_at = monotonic_now();
        open_calls.insert(open);
        timeouts.emplace(timeout_at, open);
        watch_sending(*open, call.send_until_ms);
        evhttp_request* request = evhttp_request_new(completed, open);
        open->request = request;
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        const bool has_host_header = std::any_of(call.headers.begin(), call.headers.end(),
                                                 [](const auto& h) { return h.name == "Host"; });
        if (!has_host_header) {
            evhttp_add_header(headers, "Host", call.address.c_str());
        }
        for (const auto& h : call.headers) {
            evhttp_add_header(headers, h.name.c_str(), h.value.c_str());
        }
        if (!call.body.empty()) {
            evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(),
                         call.body.size());
        }
        ++counts.calls;
        counts.bytes_sent += call.body.size() + call.target.size() + header_bytes(request, false);
        sending = true;
        const int made = evhttp_make_request(connection, request, to_evhttp_command(call.method),
                                             call.target.c_str());
        sending = false;
        if (made != 0) {
            forget(open);
            stop_watching(*open);
            close_later(connection);
            loop.after(0, [handler = std::move(open->on_answer)] { handler({}); });
            delete open;
        }
    }
};

http_client::http_client(event_loop& loop) : impl_(std::make_unique<impl>(loop)) {}

http_client::~http_client() = default;

void http_client::send(const http_call& call, answer_handler on_answer) {
    impl_->send(call, std::move(on_answer));
}

const traffic_meter& http_client::traffic() const {
    return impl_->traffic;
}

} // namespace fulmarworks
