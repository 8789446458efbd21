#include "http/http_server.h"

#include <charconv>
#include <event2/http.h>
#include <evhtp/evhtp.h>
#include <unordered_map>

namespace fulmarworks {

namespace {

constexpr int listen_backlog = 1024;
constexpr time_ms write_timeout_ms = 30 * milliseconds_per_second;

std::string method_name(evhtp_request_t* request) {
    switch (evhtp_request_get_method(request)) {
    case htp_method_GET: return "GET";
    case htp_method_POST: return "POST";
    case htp_method_PUT: return "PUT";
    case htp_method_DELETE: return "DELETE";
    default: return "OTHER";
    }
}

std::string read_body(evhtp_request_t* request) {
    const std::size_t size = evbuffer_get_length(request->buffer_in);
    std::string body(size, '\0');
    evbuffer_copyout(request->buffer_in, body.data(), size);
    return body;
}

http_request read_request(evhtp_request_t* request, const std::vector<std::string>& headers) {
    http_request r;
    for (const auto& name : headers) {
        const char* value = evhtp_header_find(request->headers_in, name.c_str());
        r.headers.emplace_back(value == nullptr ? "" : value);
    }
    r.method = method_name(request);
    if (request->uri != nullptr && request->uri->path != nullptr &&
        request->uri->path->full != nullptr) {
        r.path = request->uri->path->full;
    }
    if (request->uri != nullptr && request->uri->query_raw != nullptr) {
        r.query = reinterpret_cast<const char*>(request->uri->query_raw);
    }
    r.body = read_body(request);
    return r;
}

void add_header(evhtp_request_t* request, const char* name, const std::string& value) {
    evhtp_headers_add_header(request->headers_out, evhtp_header_new(name, value.c_str(), 1, 1));
}

timeval to_timeval(time_ms duration) {
    return {static_cast<time_t>(duration / milliseconds_per_second),
            static_cast<suseconds_t>(duration % milliseconds_per_second * 1000)};
}

} // namespace

struct http_server::impl {
    struct open_request {
        impl* server = nullptr;
        std::uint64_t token = 0;
        evhtp_request_t* request = nullptr;
        bool paused = false;
    };

    evhtp_t* htp = nullptr;
    bool listening = false;
    bool draining = false;
    std::uint64_t next_token = 1;
    std::unordered_map<std::uint64_t, open_request> open;
    std::vector<std::string> headers;
    request_handler on_request;
    gone_handler on_gone;

    static evhtp_res request_finished(evhtp_request_t*, void* argument) {
        auto* finished = static_cast<open_request*>(argument);
        impl* server = finished->server;
        const std::uint64_t token = finished->token;
        server->open.erase(token);
        if (server->on_gone) {
            server->on_gone(token);
        }
        return EVHTP_RES_OK;
    }

    static void request_received(evhtp_request_t* request, void* argument) {
        auto* server = static_cast<impl*>(argument);
        const std::uint64_t token = server->next_token++;
        open_request& added = server->open[token];
        added = {server, token, request, false};
        evhtp_request_set_hook(
            request, evhtp_hook_on_request_fini,
            reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(request_finished)), &added);
        server->on_request(read_request(request, server->headers), token);
        const auto found = server->open.find(token);
        if (found != server->open.end()) {
            found->second.paused = true;
            evhtp_request_pause(request);
        }
    }

    void respond(std::uint64_t token, const http_response& response) {
        const auto found = open.find(token);
        if (found == open.end()) {
            return;
        }
        evhtp_request_t* request = found->second.request;
        const bool paused = found->second.paused;
        evhtp_request_unset_hook(request, evhtp_hook_on_request_fini);
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
        evbuffer_add(request->buffer_out, response.body.data(), response.body.size());
        evhtp_send_reply(request, static_cast<evhtp_res>(response.status));
        if (paused) {
            evhtp_request_resume(request);
        }
    }
};

http_server::http_server(std::unique_ptr<impl> i) : impl_(std::move(i)) {}

http_server::~http_server() {
    stop_listening();
    for (auto& [token, open] : impl_->open) {
        evhtp_request_unset_hook(open.request, evhtp_hook_on_request_fini);
    }
    evhtp_free(impl_->htp);
}

void http_server::respond(std::uint64_t token, const http_response& response) {
    impl_->respond(token, response);
}

void http_server::drain() {
    impl_->draining = true;
}

void http_server::stop_listening() {
    drain();
    if (impl_->listening) {
        evhtp_unbind_socket(impl_->htp);
        impl_->listening = false;
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
    i->htp = evhtp_new(loop.base(), nullptr);
    evhtp_set_gencb(i->htp, impl::request_received, i.get());
    evhtp_set_max_body_size(i->htp, max_body_bytes_);
    const timeval read_timeout = to_timeval(read_timeout_ms_);
    const timeval write_timeout = to_timeval(write_timeout_ms);
    evhtp_set_timeouts(i->htp, &read_timeout, &write_timeout);
    const socket_address& where = parsed.value();
    if (evhtp_bind_socket(i->htp, where.ip.c_str(), where.port, listen_backlog) != 0) {
        evhtp_free(i->htp);
        return error{error_kind::unavailable, "cannot listen on " + address_,
                     "free the port or change the address in the settings"};
    }
    i->listening = true;
    return std::unique_ptr<http_server>(new http_server(std::move(i)));
}

std::string query_value(std::string_view query, std::string_view key) {
    std::size_t start = 0;
    while (start < query.size()) {
        const std::size_t end = std::min(query.find('&', start), query.size());
        const std::string_view pair = query.substr(start, end - start);
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == key) {
            const std::string raw(pair.substr(equals + 1));
            char* decoded = evhttp_uridecode(raw.c_str(), 1, nullptr);
            std::string value = decoded == nullptr ? raw : decoded;
            free(decoded);
            return value;
        }
        start = end + 1;
    }
    return "";
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
    if (colon == 0 || colon == std::string_view::npos || parsed.ec != std::errc() ||
        parsed.ptr != port_text.data() + port_text.size()) {
        return error{error_kind::invalid_argument, "'" + std::string(text) + "' is no address",
                     "write IP:PORT, such as 127.0.0.1:8080"};
    }
    address.ip = std::string(text.substr(0, colon));
    return address;
}

} // namespace fulmarworks
