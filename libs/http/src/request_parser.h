#pragma once

#include "http/http_server.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace fulmarworks {

enum class parser_status {
    incomplete,
    complete,
    head_too_large,
    body_too_large,
    malformed,
    unsupported_method,
};

struct parser_limits {
    /** Bytes of the request line and headers, and of empty lines before them; also those of a size
     * line or the trailers of a chunked body. */
    std::size_t max_head_bytes = 0;
    std::uint64_t max_body_bytes = 0;
};

/**
 * Incremental parser of one HTTP/1.1 request (RFC 9112) on Boost.Beast. It keeps the body and the
 * headers with given names, and drops all other headers as it reads them, so that it holds hardly
 * more bytes than it was given. Not thread safe.
 */
class request_parser {
public:
    /** `header_names` must outlive the parser. */
    request_parser(const parser_limits& limits, std::span<const std::string> header_names);
    ~request_parser();
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;

    /** Parses as much of `data` as possible and returns the number of bytes that were used. The
     * others must be presented again, together with further input. Precondition: the status is
     * `incomplete`. */
    [[nodiscard]] std::size_t parse(std::string_view data);

    [[nodiscard]] parser_status status() const;

    /** Returns whether the client waits for status 100 before it sends the body, and hasn't sent
     * any of it. */
    [[nodiscard]] bool expects_continue() const;

    /** Returns whether the connection stays open after the response. Precondition: the status is
     * `complete`. */
    [[nodiscard]] bool keeps_alive() const;

    /** Returns the bytes that the parser holds. */
    [[nodiscard]] std::size_t held_bytes() const;

    /** Returns the request. Precondition: the status is `complete`. */
    [[nodiscard]] http_request& request();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarworks
