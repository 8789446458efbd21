#include "http/http_client.h"

#include "attentive_clock.h"
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
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace fulmarworks {

namespace {

constexpr std::size_t max_idle_connections_per_address = 8;
constexpr ev_ssize_t max_answer_bytes = 64 * 1024 * 1024;
/** Interval between checks for calls that have reached their timeout. */
constexpr time_ms timeout_check_interval_ms = 20;
/** Interval between checks for connections that have been idle for too long. */
constexpr time_ms idle_check_interval_ms = 500;
/** Time after which an idle connection is closed. */
constexpr time_ms max_idle_ms = 2000;
/** Timeout of evhttp, which never ends a call: a call's own timeout is checked first. */
constexpr timeval unused_timeout = {24L * 60 * 60, 0};

evhttp_cmd_type to_evhttp_command(const std::string& method) {
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (method == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    return method == "PUT" ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET;
}

http_answer read_answer(evhttp_request* request) {
    http_answer answer;
    if (request == nullptr) {
        return answer;
    }
    answer.status = evhttp_request_get_response_code(request);
    evbuffer* input = evhttp_request_get_input_buffer(request);
    answer.body.resize(evbuffer_get_length(input));
    evbuffer_copyout(input, answer.body.data(), answer.body.size());
    const char* retry_after =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Retry-After");
    if (retry_after != nullptr) {
        answer.retry_after_ms = std::atol(retry_after) * milliseconds_per_second;
    }
    return answer;
}

/** Returns the size of a message's headers and first line in bytes. The request target is not
 * included; the rest of the first line counts as 20 bytes. */
std::size_t header_bytes(evhttp_request* request, bool received) {
    constexpr std::size_t first_line_bytes = 20;
    constexpr std::size_t separator_bytes = 4;
    if (request == nullptr) {
        return 0;
    }
    const evkeyvalq* headers = received ? evhttp_request_get_input_headers(request)
                                        : evhttp_request_get_output_headers(request);
    std::size_t total = first_line_bytes;
    for (const evkeyval* h = headers->tqh_first; h != nullptr; h = h->next.tqe_next) {
        total += std::strlen(h->key) + std::strlen(h->value) + separator_bytes;
    }
    return total;
}

/** Returns whether the system has data from the server, or its end, that evhttp hasn't read. */
bool has_unread_input(evhttp_connection* connection) {
    pollfd state = {bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), POLLIN, 0};
    return state.fd >= 0 && poll(&state, 1, 0) > 0;
}

} // namespace

struct http_client::impl {
    struct open_call {
        impl* client = nullptr;
        evhttp_connection* connection = nullptr;
        std::string address;
        traffic_counts* traffic = nullptr;
        answer_handler on_answer;
        /** Time on `clock` from which the call is given up unless it has unread input. */
        time_ms timeout_at = 0;
        /** Time on `clock` from which it is given up in any case. */
        time_ms given_up_at = 0;
    };

    struct idle_connection {
        evhttp_connection* connection = nullptr;
        /** Time on `clock`. */
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
        evhttp_connection_set_retries(connection, 0);
        ++counts.connections_opened;
        return connection;
    }

    /** Frees a connection from the loop, because evhttp doesn't allow it in the connection's own
     * callback. */
    void close_later(evhttp_connection* connection) {
        closing_connections.insert(connection);
        loop.after(0, [this, connection] {
            closing_connections.erase(connection);
            evhttp_connection_free(connection);
        });
    }

    static void completed(evhttp_request* request, void* argument) {
        auto* call = static_cast<open_call*>(argument);
        impl* client = call->client;
        if (client == nullptr) {
            return;
        }
        const http_answer answer = read_answer(request);
        client->forget(call);
        call->traffic->bytes_received += answer.body.size() + header_bytes(request, true);
        auto& available = client->idle_connections[call->address];
        if (answer.status != 0 && available.size() < max_idle_connections_per_address) {
            available.push_back({call->connection, client->clock.now()});
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

    /**
     * Gives up the calls that have reached their timeout.
     *
     * Timeouts of evhttp would end calls whose answers have arrived: after a stall of the process
     * both are due, and libevent drops the readiness of a descriptor whose timer has run out.
     */
    void check_timeouts() {
        clock.advance(monotonic_now());
        const time_ms now = clock.now();
        std::vector<answer_handler> given_up;
        for (auto next = timeouts.begin(); next != timeouts.end() && next->first <= now;) {
            open_call* call = (next++)->second;
            if (now < call->given_up_at && has_unread_input(call->connection)) {
                continue;
            }
            forget(call);
            given_up.push_back(std::move(call->on_answer));
            call->client = nullptr; // freeing the connection may run `completed`
            evhttp_connection_free(call->connection);
            delete call;
        }
        if (now - idle_checked_at >= idle_check_interval_ms) {
            idle_checked_at = now;
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
        const time_ms oldest = clock.now() - max_idle_ms;
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
        traffic_counts& counts = traffic.of(call.kind);
        evhttp_connection* connection = acquire_connection(call.address, counts);
        if (connection == nullptr) {
            loop.after(0, [on_answer] { on_answer({}); });
            return;
        }
        const time_ms timeout_at = clock.at(monotonic_now()) + call.timeout_ms;
        auto* open = new open_call{this,
                                   connection,
                                   call.address,
                                   &counts,
                                   std::move(on_answer),
                                   timeout_at,
                                   timeout_at + call.timeout_ms};
        open_calls.insert(open);
        timeouts.emplace(timeout_at, open);
        evhttp_request* request = evhttp_request_new(completed, open);
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

http_answer call_and_wait(const http_call& call) {
    event_loop loop;
    http_answer answer;
    bool done = false;
    http_client client(loop);
    client.send(call, [&](const http_answer& a) {
        answer = a;
        done = true;
    });
    constexpr time_ms margin_ms = 1000;
    loop.run_until([&] { return done; }, call.timeout_ms + margin_ms);
    return answer;
}

} // namespace fulmarworks
