#include "request_parser.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace fulmarworks;

namespace {

constexpr parser_limits limits = {1024, 5000};
const std::vector<std::string> names = {"Host", "X-Key"};

/** Presents a text in pieces, as a connection does; returns the final status. */
parser_status parse_in_pieces(request_parser& parser, std::string_view text, std::size_t piece) {
    std::string unused;
    while (parser.status() == parser_status::incomplete && !text.empty()) {
        unused += text.substr(0, piece);
        text.remove_prefix(std::min(piece, text.size()));
        unused.erase(0, parser.parse(unused));
    }
    return parser.status();
}

parser_status status_of(std::string_view text, std::size_t piece = 4096) {
    request_parser parser(limits, names);
    return parse_in_pieces(parser, text, piece);
}

std::string repeated(std::string_view text, std::size_t count) {
    std::string all;
    for (std::size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

} // namespace

TEST_CASE("a request is read whole, whatever the sizes of its pieces") {
    const std::string text = "\r\n\r\nPOST /a/b?c=d HTTP/1.1\r\nhost: h\r\nX-Other: 1\r\n"
                             "X-KEY: k\r\nX-Key: second\r\nContent-Length: 4\r\n\r\nbody";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        INFO("pieces of " << piece);
        request_parser parser(limits, names);
        REQUIRE(parse_in_pieces(parser, text, piece) == parser_status::complete);
        CHECK(parser.request().method == "POST");
        CHECK(parser.request().path == "/a/b");
        CHECK(parser.request().query == "c=d");
        CHECK(parser.request().body == "body");
        CHECK(parser.request().headers == std::vector<std::string>{"h", "k"});
        CHECK(parser.keeps_alive());
    }
}

TEST_CASE("a chunked body is joined, and its trailers don't become headers") {
    const std::string text = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-Key: trailer\r\n\r\n";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        INFO("pieces of " << piece);
        request_parser parser(limits, names);
        REQUIRE(parse_in_pieces(parser, text, piece) == parser_status::complete);
        CHECK(parser.request().body == "abcde");
        CHECK(parser.request().headers[1].empty());
    }
}

TEST_CASE("bytes after a request are left for the next one") {
    const std::string first = "GET /1 HTTP/1.1\r\n\r\n";
    request_parser parser(limits, names);
    CHECK(parser.parse(first + "GET /2 HTTP/1.1\r\n") == first.size());
    CHECK(parser.status() == parser_status::complete);
}

TEST_CASE("parts of a request without end are rejected") {
    const std::size_t piece = GENERATE(1, 7, 4096);
    INFO("pieces of " << piece);
    const std::string line = "GET / HTTP/1.1\r\n";
    const std::string chunked = line + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string endless(20'000, 'a');
    CHECK(status_of("GET /" + endless, piece) == parser_status::head_too_large);
    CHECK(status_of(line + "X-A: " + endless, piece) == parser_status::head_too_large);
    CHECK(status_of(line + repeated("a:b\r\n", 4000), piece) == parser_status::head_too_large);
    CHECK(status_of(repeated("\r\n", 4000), piece) == parser_status::head_too_large);
    CHECK(status_of(chunked + "5;" + endless, piece) != parser_status::incomplete);
    CHECK(status_of(chunked + "1\r\na\r\n0\r\n" + repeated("a:b\r\n", 4000), piece) !=
          parser_status::incomplete);
    CHECK(status_of(chunked + repeated("1\r\na\r\n", 6000), piece) ==
          parser_status::body_too_large);
    CHECK(status_of(line + "Content-Length: 5001\r\n\r\n", piece) == parser_status::body_too_large);
    CHECK(status_of(line + "Content-Length: 9000000000\r\n\r\n", piece) ==
          parser_status::body_too_large);
}

TEST_CASE("requests at their limits are read") {
    const std::string line = "POST / HTTP/1.1\r\nX-A: ";
    const std::string end = "\r\nContent-Length: 5000\r\n\r\n";
    const std::string padding(1000 - line.size() - end.size(), 'a');
    CHECK(status_of(line + padding + end + std::string(5000, 'b')) == parser_status::complete);
}

TEST_CASE("what is no request is rejected") {
    CHECK(status_of("nonsense\r\n\r\n") == parser_status::malformed);
    CHECK(status_of("GET / HTTP/3.7\r\n\r\n") == parser_status::malformed);
    CHECK(status_of("GET / HTTP/1.1\r\nno colon\r\n\r\n") == parser_status::malformed);
    CHECK(status_of("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n") == parser_status::malformed);
    CHECK(status_of("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n") ==
          parser_status::malformed);
    CHECK(status_of("BREW / HTTP/1.1\r\n\r\n") == parser_status::unsupported_method);
    CHECK(status_of("HEAD / HTTP/1.1\r\n\r\n") == parser_status::unsupported_method);
}

TEST_CASE("connections stay open with HTTP/1.1 unless the client closes them") {
    const auto keeps_alive = [](const std::string& text) {
        request_parser parser(limits, names);
        REQUIRE(parse_in_pieces(parser, text, text.size()) == parser_status::complete);
        return parser.keeps_alive();
    };
    CHECK(keeps_alive("GET / HTTP/1.1\r\n\r\n"));
    CHECK_FALSE(keeps_alive("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"));
    CHECK_FALSE(keeps_alive("GET / HTTP/1.0\r\n\r\n"));
    CHECK_FALSE(keeps_alive("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"));
}

TEST_CASE("a client that expects status 100 is recognised until its body arrives") {
    const std::string head = "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    request_parser parser(limits, names);
    CHECK(parser.parse(head) == head.size());
    CHECK(parser.expects_continue());
    CHECK(parser.parse("a") == 1);
    CHECK_FALSE(parser.expects_continue());
}

TEST_CASE("any bytes are parsed within the limits of memory") {
    rc::check([](const std::vector<std::string>& pieces) {
        const std::vector<std::string> starts = {
            "", "GET / HTTP/1.1\r\n", "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "POST /x HTTP/1.1\r\nContent-Length: 300\r\n\r\n"};
        for (const auto& start : starts) {
            request_parser parser(limits, names);
            std::string unused = start;
            for (const auto& piece : pieces) {
                if (parser.status() != parser_status::incomplete) {
                    break;
                }
                unused += piece;
                const std::size_t used = parser.parse(unused);
                RC_ASSERT(used <= unused.size());
                unused.erase(0, used);
                RC_ASSERT(parser.held_bytes() <= 2 * limits.max_body_bytes);
            }
        }
    });
}
