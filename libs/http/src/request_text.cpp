#include "base/log_line.h"
#include "http/http_server.h"

#include <arpa/inet.h>
#include <charconv>
#include <event2/http.h>

namespace fulmarworks {

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
