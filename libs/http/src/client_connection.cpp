#include "client_connection.h"

#include "http/client_memory.h"
#include "http/tcp_stream.h"
#include "response_head.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <utility>

namespace fulmarworks {

namespace {

/** Memory of a connection without any data: its own objects and those of libevent. */
constexpr std::size_t empty_connection_bytes = 4096;
/** Copies of a request's body while it is processed: decoded, encoded for the store, and in the
 * buffer of the call that carries it. */
constexpr std::size_t copies_in_processing = 4;
/** Slowest transfer that extends the time limit of a request or response. */
constexpr std::size_t min_bytes_per_second = 16 * 1024;
/** Time in which the client of a rejected request can read the response before the connection is
 * closed: unread input would reset the connection and the response would be lost. */
constexpr time_ms linger_ms = 1000;
constexpr std::size_t max_discarded_bytes = std::size_t{1024} * 1024;
constexpr time_ms retry_after_ms = 1000;

int status_of(parser_status status) {
    switch (status) {
    case parser_status::head_too_large: return 431;
    case parser_status::body_too_large: return 413;
    case parser_status::unsupported_method: return 501;
    default: return 400;
    }
}

client_limit limit_of(parser_status status) {
    switch (status) {
    case parser_status::head_too_large: return client_limit::head_size;
    case parser_status::body_too_large: return client_limit::body_size;
    case parser_status::unsupported_method: return client_limit::method;
    default: return client_limit::syntax;
    }
}

/** Adds a body to a buffer; a large one without a copy. */
void add_body(evbuffer* output, std::string body) {
    constexpr std::size_t min_referenced_bytes = 16 * std::size_t{1024};
    if (body.size() < min_referenced_bytes) {
        evbuffer_add(output, body.data(), body.size());
        return;
    }
    auto owned = std::make_unique<std::string>(std::move(body));
    const auto release = [](const void*, std::size_t, void* text) {
        delete static_cast<std::string*>(text);
    };
    if (evbuffer_add_reference(output, owned->data(), owned->size(), release, owned.get()) == 0) {
        (void)owned.release(); // the buffer owns it now
    }
}

} // namespace

client_connection::client_connection(bufferevent* stream, std::uint64_t id,
                                     const connection_limits& limits,
                                     std::span<const std::string> header_names,
                                     connection_handlers& handlers, client_memory& memory)
    : stream_(stream), id_(id), limits_(limits), header_names_(header_names), handlers_(handlers),
      memory_(memory) {
    load_.since_ms = monotonic_now();
    memory_.join(*this);
}

void client_connection::start() {
    bufferevent_setcb(stream_, readable, written, ended, this);
    bufferevent_setwatermark(stream_, EV_READ, 0, limits_.request.max_head_bytes);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    if (!update_load()) {
        give_up(client_limit::memory);
    }
}

client_connection::~client_connection() {
    memory_.leave(*this);
    if (!closed_) {
        shut_stream(stream_);
    }
    bufferevent_free(stream_);
}

std::size_t client_connection::input_bytes() const {
    return evbuffer_get_length(bufferevent_get_input(stream_));
}

std::size_t client_connection::output_bytes() const {
    return evbuffer_get_length(bufferevent_get_output(stream_));
}

bool client_connection::update_load() {
    const std::size_t before = load_.bytes;
    load_.bytes = 0;
    if (!closed_) {
        load_.bytes = empty_connection_bytes + input_bytes() + output_bytes() + processing_bytes_ +
                      (parser_ ? parser_->held_bytes() : 0);
    }
    return memory_.change(*this, before, load_.bytes);
}

void client_connection::enter(connection_phase phase) {
    load_.phase = phase;
    load_.since_ms = monotonic_now();
}

void client_connection::readable(bufferevent*, void* argument) {
    static_cast<client_connection*>(argument)->read_request();
}

void client_connection::read_request() {
    switch (load_.phase) {
    case connection_phase::idle:
    case connection_phase::receiving: parse_input(); return;
    case connection_phase::closing: discard_input(); return;
    case connection_phase::processing:
    case connection_phase::sending:
        // One buffer of what is sent ahead is small beside the open request or response.
        (void)update_load();
        return;
    }
}

void client_connection::parse_input() {
    evbuffer* input = bufferevent_get_input(stream_);
    const std::size_t size = evbuffer_get_length(input);
    if (size == 0) {
        return;
    }
    if (!parser_) {
        parser_ = std::make_unique<request_parser>(limits_.request, header_names_);
        parsed_bytes_ = 0;
        enter(connection_phase::receiving);
    }
    const char* data = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const std::size_t used = parser_->parse({data, size});
    evbuffer_drain(input, used);
    parsed_bytes_ += used;
    const parser_status status = parser_->status();
    if (status == parser_status::complete) {
        dispatch();
    } else if (status != parser_status::incomplete) {
        reject(status_of(status), limit_of(status));
    } else if (!update_load()) {
        reject(503, client_limit::memory);
    } else if (parser_->expects_continue() && input_bytes() == 0) {
        constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        bufferevent_write(stream_, go_on.data(), go_on.size());
    }
}

void client_connection::dispatch() {
    http_request request = std::move(parser_->request());
    keeps_alive_ = parser_->keeps_alive();
    parser_.reset();
    if (!handlers_.has_capacity()) {
        reject(503, client_limit::open_requests);
        return;
    }
    processing_bytes_ = copies_in_processing * request.body.size();
    if (!update_load()) {
        reject(503, client_limit::memory);
        return;
    }
    enter(connection_phase::processing);
    handlers_.on_request(*this, request);
}

void client_connection::reject(int status, client_limit limit) {
    handlers_.on_limit(limit);
    parser_.reset();
    lingers_ = true;
    http_response response = empty_response(status);
    response.retry_after_ms = status == 503 ? retry_after_ms : 0;
    write(std::move(response), true);
}

void client_connection::respond(http_response response, bool close_connection) {
    if (!closed_ && load_.phase == connection_phase::processing) {
        write(std::move(response), close_connection || !keeps_alive_);
    }
}

void client_connection::write(http_response response, bool close_connection) {
    closes_after_response_ = close_connection;
    processing_bytes_ = 0;
    enter(connection_phase::sending);
    const std::string head = make_response_head(response, close_connection);
    evbuffer* output = bufferevent_get_output(stream_);
    evbuffer_add(output, head.data(), head.size());
    add_body(output, std::move(response.body));
    response_bytes_ = output_bytes();
    // A response that is ready is delivered although it may exceed the account on its own.
    (void)update_load();
}

void client_connection::written(bufferevent*, void* argument) {
    auto& self = *static_cast<client_connection*>(argument);
    if (self.load_.phase == connection_phase::sending) {
        self.finish_response();
    }
}

void client_connection::finish_response() {
    if (closes_after_response_) {
        if (!lingers_ && input_bytes() == 0) {
            close();
            return;
        }
        ::shutdown(bufferevent_getfd(stream_), SHUT_WR);
        enter(connection_phase::closing);
        discard_input();
        return;
    }
    enter(connection_phase::idle);
    (void)update_load();
    parse_input();
}

void client_connection::discard_input() {
    evbuffer* input = bufferevent_get_input(stream_);
    discarded_bytes_ += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    (void)update_load();
    if (discarded_bytes_ > max_discarded_bytes) {
        close();
    }
}

void client_connection::ended(bufferevent* stream, short what, void* argument) {
    auto& self = *static_cast<client_connection*>(argument);
    const bool end_of_input = (what & BEV_EVENT_EOF) != 0;
    if (end_of_input && self.load_.phase == connection_phase::sending) {
        // The client may have closed its side only.
        self.closes_after_response_ = true;
        bufferevent_disable(stream, EV_READ);
        return;
    }
    self.close();
}

void client_connection::give_up(client_limit limit) {
    if (!closed_) {
        handlers_.on_limit(limit);
        close();
    }
}

bool client_connection::is_transfer_late(std::size_t transferred_bytes, time_ms age_ms) const {
    const auto earned_ms =
        static_cast<time_ms>(transferred_bytes * milliseconds_per_second / min_bytes_per_second);
    return age_ms > limits_.transfer_timeout_ms + earned_ms;
}

void client_connection::check_timeouts(time_ms now_ms) {
    if (closed_) {
        return;
    }
    const time_ms age_ms = now_ms - load_.since_ms;
    switch (load_.phase) {
    case connection_phase::idle:
        if (age_ms > limits_.idle_timeout_ms) {
            close();
        }
        return;
    case connection_phase::receiving:
        if (is_transfer_late(parsed_bytes_, age_ms)) {
            give_up(client_limit::request_duration);
        }
        return;
    case connection_phase::sending:
        if (is_transfer_late(response_bytes_ - output_bytes(), age_ms)) {
            give_up(client_limit::answer_duration);
        }
        return;
    case connection_phase::closing:
        if (age_ms > linger_ms) {
            close();
        }
        return;
    case connection_phase::processing: return;
    }
}

void client_connection::close() {
    if (closed_) {
        return;
    }
    closed_ = true;
    const bool gone = load_.phase == connection_phase::processing;
    const std::size_t abandoned_bytes = processing_bytes_;
    shut_stream(stream_);
    parser_.reset();
    processing_bytes_ = 0;
    (void)update_load();
    if (gone) {
        handlers_.on_gone(*this, abandoned_bytes);
    }
    handlers_.on_closed(*this);
}

} // namespace fulmarworks
