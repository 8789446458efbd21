#include "request_parser.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/verb.hpp>
#include <event2/http.h>
#include <limits>

namespace fulmarworks {

namespace {

namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

std::string_view to_view(beast::string_view text) {
    return {text.data(), text.size()};
}

std::string_view supported_method(beast_http::verb method) {
    switch (method) {
    case beast_http::verb::get: return "GET";
    case beast_http::verb::post: return "POST";
    case beast_http::verb::put: return "PUT";
    case beast_http::verb::delete_: return "DELETE";
    default: return "";
    }
}

/** Splits a request target into path and query; returns whether it is valid. */
bool split_target(const std::string& target, http_request& request) {
    evhttp_uri* uri = evhttp_uri_parse_with_flags(target.c_str(), EVHTTP_URI_NONCONFORMANT);
    if (uri == nullptr) {
        return false;
    }
    const char* path = evhttp_uri_get_path(uri);
    const char* query = evhttp_uri_get_query(uri);
    request.path = path == nullptr ? "" : path;
    request.query = query == nullptr ? "" : query;
    evhttp_uri_free(uri);
    return true;
}

} // namespace

struct request_parser::impl : beast_http::basic_parser<true> {
    parser_limits limits;
    std::span<const std::string> header_names;
    http_request request;
    parser_status status = parser_status::incomplete;
    bool continue_expected = false;
    /** Whether the version of HTTP keeps connections open by default. */
    bool persistent = false;
    /** Bytes that were used and aren't part of the body. */
    std::size_t overhead_bytes = 0;

    impl(const parser_limits& l, std::span<const std::string> names)
        : limits(l), header_names(names) {
        request.headers.resize(names.size());
        eager(true);
        header_limit(static_cast<std::uint32_t>(
            std::min<std::size_t>(l.max_head_bytes, std::numeric_limits<std::uint32_t>::max())));
        body_limit(l.max_body_bytes);
    }

    /** Fails with the given status; `parse` turns any error into it. */
    void fail(parser_status reason, beast::error_code& ec) {
        status = reason;
        ec = beast_http::error::bad_value;
    }

    void on_request_impl(beast_http::verb method, beast::string_view, beast::string_view target,
                         int version, beast::error_code& ec) override {
        constexpr int http_1_1 = 11;
        persistent = version >= http_1_1;
        request.method = supported_method(method);
        if (request.method.empty()) {
            fail(parser_status::unsupported_method, ec);
        } else if (!split_target(std::string(to_view(target)), request)) {
            fail(parser_status::malformed, ec);
        }
    }

    void on_response_impl(int, beast::string_view, int, beast::error_code&) override {}

    void on_field_impl(beast_http::field name, beast::string_view name_text,
                       beast::string_view value, beast::error_code&) override {
        if (is_header_done()) {
            return; // trailers can't replace headers
        }
        if (name == beast_http::field::expect) {
            continue_expected = beast::iequals(value, "100-continue");
        }
        for (std::size_t i = 0; i < header_names.size(); ++i) {
            // The first of several fields counts, as with evhttp_find_header.
            if (request.headers[i].empty() && beast::iequals(name_text, header_names[i])) {
                request.headers[i] = to_view(value);
            }
        }
    }

    void on_header_impl(beast::error_code&) override {}

    void on_body_init_impl(const boost::optional<std::uint64_t>&, beast::error_code&) override {}

    std::size_t on_body_impl(beast::string_view body, beast::error_code&) override {
        request.body.append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code&) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view body,
                                   beast::error_code&) override {
        request.body.append(body.data(), body.size());
        return body.size();
    }

    void on_finish_impl(beast::error_code&) override {}

    /** Removes empty lines before the request line, which RFC 9112, section 2.2, lets servers
     * ignore; returns their length. */
    [[nodiscard]] static std::size_t leading_empty_lines(std::string_view data) {
        return std::min(data.find_first_not_of("\r\n"), data.size());
    }

    [[nodiscard]] parser_status status_of(const beast::error_code& ec) const {
        if (ec == beast_http::error::header_limit) {
            return parser_status::head_too_large;
        }
        if (ec == beast_http::error::body_limit) {
            return parser_status::body_too_large;
        }
        return parser_status::malformed;
    }

    void update_status(const beast::error_code& ec, std::size_t unused) {
        if (ec && ec != beast_http::error::need_more) {
            if (status == parser_status::incomplete) {
                status = status_of(ec);
            }
        } else if (is_done()) {
            status = parser_status::complete;
        } else if (unused >= limits.max_head_bytes ||
                   (!is_header_done() && overhead_bytes > limits.max_head_bytes)) {
            status = parser_status::head_too_large;
        } else if (overhead_bytes > limits.max_head_bytes + limits.max_body_bytes) {
            // Chunks may carry less than their own size lines.
            status = parser_status::body_too_large;
        }
    }

    std::size_t parse(std::string_view data) {
        const std::size_t skipped = got_some() ? 0 : leading_empty_lines(data);
        data.remove_prefix(skipped);
        beast::error_code ec;
        const std::size_t body_before = request.body.size();
        const std::size_t used =
            data.empty() ? 0 : put(boost::asio::const_buffer(data.data(), data.size()), ec);
        overhead_bytes += skipped + used - (request.body.size() - body_before);
        update_status(ec, data.size() - used);
        return skipped + used;
    }
};

request_parser::request_parser(const parser_limits& limits,
                               std::span<const std::string> header_names)
    : impl_(std::make_unique<impl>(limits, header_names)) {}

request_parser::~request_parser() = default;

std::size_t request_parser::parse(std::string_view data) {
    return impl_->parse(data);
}

parser_status request_parser::status() const {
    return impl_->status;
}

bool request_parser::expects_continue() const {
    return impl_->continue_expected && impl_->is_header_done() && impl_->request.body.empty() &&
           impl_->status == parser_status::incomplete;
}

bool request_parser::keeps_alive() const {
    return impl_->persistent && impl_->keep_alive();
}

std::size_t request_parser::held_bytes() const {
    return impl_->request.body.capacity();
}

http_request& request_parser::request() {
    return impl_->request;
}

} // namespace fulmarworks
