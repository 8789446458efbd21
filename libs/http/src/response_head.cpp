#include "response_head.h"

#include <boost/beast/http/status.hpp>
#include <ctime>

namespace fulmarworks {

namespace {

/** Returns the time as an IMF-fixdate (RFC 9110, section 5.6.7). */
std::string format_date(std::time_t time) {
    std::tm parts = {};
    gmtime_r(&time, &parts);
    std::string text(32, '\0');
    text.resize(std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &parts));
    return text;
}

std::string current_date() {
    thread_local std::time_t formatted_for = 0;
    thread_local std::string formatted;
    const std::time_t now = wall_now() / milliseconds_per_second;
    if (now != formatted_for) {
        formatted = format_date(now);
        formatted_for = now;
    }
    return formatted;
}

} // namespace

std::string make_response_head(const http_response& response, bool close_connection) {
    namespace beast_http = boost::beast::http;
    const auto reason =
        beast_http::obsolete_reason(static_cast<beast_http::status>(response.status));
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " ";
    head.append(reason.data(), reason.size());
    head += "\r\nContent-Type: " + response.content_type +
            "\r\nContent-Length: " + std::to_string(response.body.size()) +
            "\r\nDate: " + current_date();
    if (response.retry_after_ms > 0) {
        const time_ms seconds =
            (response.retry_after_ms + milliseconds_per_second - 1) / milliseconds_per_second;
        head += "\r\nRetry-After: " + std::to_string(seconds);
    }
    head += close_connection ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n";
    return head;
}

} // namespace fulmarworks
