#include "http/http_client.h"
#include "http/http_server.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace fulmarworks;

namespace {

constexpr time_ms limit_ms = 10000;

/** Returns a loopback address whose port was free a moment ago. */
std::string free_address() {
    const int s = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a = {};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(s, reinterpret_cast<sockaddr*>(&a), sizeof a);
    socklen_t size = sizeof a;
    getsockname(s, reinterpret_cast<sockaddr*>(&a), &size);
    close(s);
    return "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
}

} // namespace

TEST_CASE("requests are answered at once or later, and bodies arrive whole") {
    event_loop loop;
    const std::string address = free_address();
    std::unique_ptr<http_server> server;
    std::uint64_t held = 0;
    auto built = http_server::Builder()
                     .address(address)
                     .max_body_bytes(4096)
                     .on_request([&](const http_request& r, std::uint64_t token) {
                         if (r.path == "/later") {
                             held = token;
                             return;
                         }
                         server->respond(token, {200, r.method + r.path + "?" + r.query + r.body});
                     })
                     .build(loop);
    REQUIRE(built);
    server = std::move(built.value());
    http_client client(loop);
    std::vector<http_answer> answers;
    const auto record = [&](const http_answer& a) { answers.push_back(a); };
    client.send({"POST", address, "/x?a=1", "body", 2000}, record);
    REQUIRE(loop.run_until([&] { return answers.size() == 1; }, limit_ms));
    CHECK(answers[0].body == "POST/x?a=1body");
    client.send({"GET", address, "/later", "", 5000}, record);
    REQUIRE(loop.run_until([&] { return held != 0; }, limit_ms));
    client.send({"GET", address, "/y", "", 2000}, record);
    REQUIRE(loop.run_until([&] { return answers.size() == 2; }, limit_ms));
    server->respond(held, {503, "late", "text/plain", 1500});
    REQUIRE(loop.run_until([&] { return answers.size() == 3; }, limit_ms));
    CHECK(answers[2].status == 503);
    CHECK(answers[2].retry_after_ms == 2000);
    client.send({"POST", address, "/big", std::string(10000, 'x'), 2000}, record);
    REQUIRE(loop.run_until([&] { return answers.size() == 4; }, limit_ms));
    CHECK(answers[3].status != 200);
}

TEST_CASE("a call to nobody and a call without an answer both end") {
    event_loop loop;
    const std::string address = free_address();
    http_client client(loop);
    int ended = 0;
    client.send({"GET", address, "/", "", 500}, [&](const http_answer& a) {
        CHECK(a.status == 0);
        ++ended;
    });
    REQUIRE(loop.run_until([&] { return ended == 1; }, limit_ms));
    auto silent =
        http_server::Builder().address(address).on_request([](auto&, auto) {}).build(loop);
    REQUIRE(silent);
    client.send({"GET", address, "/", "", 300}, [&](const http_answer& a) {
        CHECK(a.status == 0);
        ++ended;
    });
    REQUIRE(loop.run_until([&] { return ended == 2; }, limit_ms));
}

TEST_CASE("query parameters and addresses are parsed") {
    CHECK(query_number("a=5&b=6", "b", 0) == 6);
    CHECK(query_number("b=x", "b", 7) == 7);
    CHECK(query_value("a=x%20y", "a") == "x y");
    CHECK_FALSE(parse_address("nonsense"));
    CHECK_FALSE(parse_address("1.2.3.4:99999"));
    CHECK(parse_address("1.2.3.4:99").value().port == 99);
}
