#include "http/http_server.h"

#include "base/log_line.h"

#include <arpa/inet.h>
#include <charconv>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <unordered_map>

namespace fulmarworks {

namespace {

std::string method_name(evhttp_request* request) {
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET: return "GET";
    case EVHTTP_REQ_POST: return "POST";
    case EVHTTP_REQ_PUT: return "PUT";
    case EVHTTP_REQ_DELETE: return "DELETE";
    default: return "OTHER";
    }
}

std::string string_or_empty(const char* text) {
    return text == nullptr ? "" : text;
}

std::string read_body(evhttp_request* request) {
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return body;
}

http_request read_request(evhttp_request* request, const std::vector<std::string>& headers) {
    http_request r;
    const evkeyvalq* received = evhttp_request_get_input_headers(request);
    for (const auto& name : headers) {
        r.headers.push_back(string_or_empty(evhttp_find_header(received, name.c_str())));
    }
    r.method = method_name(request);
    if (const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request)) {
        r.path = string_or_empty(evhttp_uri_get_path(uri));
        r.query = string_or_empty(evhttp_uri_get_query(uri));
    }
    r.body = read_body(request);
    return r;
}

void add_header(evhttp_request* request, const char* name, const std::string& value) {
    evhttp_add_header(evhttp_request_get_output_headers(request), name, value.c_str());
}

timeval to_timeval(time_ms duration) {
    return {static_cast<time_t>(duration / milliseconds_per_second),
            static_cast<suseconds_t>(duration % milliseconds_per_second * 1000)};
}

} // namespace

struct http_server::impl {
    struct open_request {
        evhttp_request* request = nullptr;
        evhttp_connection* connection = nullptr;
    };

    evhttp* http = nullptr;
    evhttp_bound_socket* listener = nullptr;
    bool draining = false;
    std::uint64_t next_token = 1;
    std::unordered_map<std::uint64_t, open_request> open;
    std::unordered_map<evhttp_connection*, std::uint64_t> token_by_connection;
    std::vector<std::string> headers;
    request_handler on_request;
    gone_handler on_gone;

    static void connection_closed(evhttp_connection* connection, void* argument) {
        auto* server = static_cast<impl*>(argument);
        const auto found = server->token_by_connection.find(connection);
        if (found == server->token_by_connection.end()) {
            return;
        }
        const std::uint64_t token = found->second;
        server->token_by_connection.erase(found);
        const auto request = server->open.find(token);
        if (request != server->open.end()) {
            server->free_if_detached(request->second);
            server->open.erase(request);
        }
        if (server->on_gone) {
            server->on_gone(token);
        }
    }

    /** Frees a request that is detached from its connection; evhttp frees the others with their
     * connections. */
    static void free_if_detached(const open_request& request) {
        if (evhttp_request_get_connection(request.request) == nullptr) {
            evhttp_request_free(request.request);
        }
    }

    static void request_received(evhttp_request* request, void* argument) {
        auto* server = static_cast<impl*>(argument);
        const std::uint64_t token = server->next_token++;
        evhttp_connection* connection = evhttp_request_get_connection(request);
        server->open[token] = {request, connection};
        server->token_by_connection[connection] = token;
        evhttp_connection_set_closecb(connection, connection_closed, server);
        server->on_request(read_request(request, server->headers), token);
    }

    void respond(std::uint64_t token, const http_response& response) {
        const auto found = open.find(token);
        if (found == open.end()) {
            return;
        }
        evhttp_request* request = found->second.request;
        token_by_connection.erase(found->second.connection);
        open.erase(found);
        add_header(request, "Content-Type", response.content_type);
        if (response.retry_after_ms > 0) {
            const time_ms seconds =
                (response.retry_after_ms + milliseconds_per_second - 1) / milliseconds_per_second;
            add_header(request, "Retry-After", std::to_string(seconds));
        }
        if (draining || response.close_connection) {
            add_header(request, "Connection", "close");
        }
        evbuffer_add(evhttp_request_get_output_buffer(request), response.body.data(),
                     response.body.size());
        evhttp_send_reply(request, response.status, nullptr, nullptr);
    }
};

http_server::http_server(std::unique_ptr<impl> i) : impl_(std::move(i)) {}

http_server::~http_server() {
    stop_listening();
    impl_->on_gone = nullptr;
    for (auto& [token, request] : impl_->open) {
        impl_->free_if_detached(request);
    }
    impl_->open.clear();
    evhttp_free(impl_->http);
}

void http_server::respond(std::uint64_t token, const http_response& response) {
    impl_->respond(token, response);
}

void http_server::drain() {
    impl_->draining = true;
}

void http_server::stop_listening() {
    drain();
    if (impl_->listener != nullptr) {
        evhttp_del_accept_socket(impl_->http, impl_->listener);
        impl_->listener = nullptr;
    }
}

std::size_t http_server::open_requests() const {
    return impl_->open.size();
}

http_server::Builder& http_server::Builder::address(std::string value) {
    address_ = std::move(value);
    return *this;
}

http_server::Builder& http_server::Builder::max_body_bytes(std::uint64_t value) {
    max_body_bytes_ = value;
    return *this;
}

http_server::Builder& http_server::Builder::read_timeout_ms(time_ms value) {
    read_timeout_ms_ = value;
    return *this;
}

http_server::Builder& http_server::Builder::header(std::string name) {
    headers_.push_back(std::move(name));
    return *this;
}

http_server::Builder& http_server::Builder::on_request(request_handler value) {
    on_request_ = std::move(value);
    return *this;
}

http_server::Builder& http_server::Builder::on_gone(gone_handler value) {
    on_gone_ = std::move(value);
    return *this;
}

result<std::unique_ptr<http_server>> http_server::Builder::build(event_loop& loop) {
    const auto parsed = parse_address(address_);
    if (!parsed) {
        return parsed.error();
    }
    auto i = std::make_unique<impl>();
    i->headers = std::move(headers_);
    i->on_request = std::move(on_request_);
    i->on_gone = std::move(on_gone_);
    i->http = evhttp_new(loop.base());
    evhttp_set_allowed_methods(i->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                            EVHTTP_REQ_DELETE);
    evhttp_set_gencb(i->http, impl::request_received, i.get());
    evhttp_set_max_body_size(i->http, static_cast<ev_ssize_t>(max_body_bytes_));
    const timeval timeout = to_timeval(read_timeout_ms_);
    evhttp_set_timeout_tv(i->http, &timeout);
    const socket_address& where = parsed.value();
    i->listener = evhttp_bind_socket_with_handle(i->http, where.ip.c_str(), where.port);
    if (i->listener == nullptr) {
        evhttp_free(i->http);
        return error{error_kind::unavailable, "cannot listen on " + address_,
                     "free the port or change the address in the settings"};
    }
    return std::unique_ptr<http_server>(new http_server(std::move(i)));
}

http_response empty_response(int status) {
    http_response response;
    response.status = status;
    response.body = "{}";
    return response;
}

std::string query_value(std::string_view query, std::string_view key) {
    std::size_t start = 0;
    while (start < query.size()) {
        const std::size_t end = std::min(query.find('&', start), query.size());
        const std::string_view pair = query.substr(start, end - start);
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == key) {
            const std::string raw(pair.substr(equals + 1));
            std::size_t size = 0;
            char* decoded = evhttp_uridecode(raw.c_str(), 1, &size);
            std::string value = decoded == nullptr ? raw : std::string(decoded, size);
            free(decoded);
            return value;
        }
        start = end + 1;
    }
    return "";
}

std::optional<std::string> path_argument(const http_request& request, std::string_view prefix) {
    if (!request.path.starts_with(prefix) || request.path.size() == prefix.size()) {
        return std::nullopt;
    }
    return request.path.substr(prefix.size());
}

std::int64_t query_number(std::string_view query, std::string_view key, std::int64_t fallback) {
    const std::string text = query_value(query, key);
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return whole && !text.empty() ? value : fallback;
}

result<socket_address> parse_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    const std::string_view port_text =
        colon == std::string_view::npos ? "" : text.substr(colon + 1);
    socket_address address;
    const auto parsed =
        std::from_chars(port_text.data(), port_text.data() + port_text.size(), address.port);
    if (colon != std::string_view::npos) {
        address.ip = std::string(text.substr(0, colon));
    }
    // The host name in a text that is no IP address would be looked up while the event loop waits.
    in_addr ip = {};
    if (inet_pton(AF_INET, address.ip.c_str(), &ip) != 1 ||
        address.ip.find('\0') != std::string::npos || parsed.ec != std::errc() ||
        parsed.ptr != port_text.data() + port_text.size()) {
        return error{error_kind::invalid_argument, log_text(text) + " is no address",
                     "write IP:PORT, such as 127.0.0.1:8080"};
    }
    return address;
}

} // namespace fulmarworks
