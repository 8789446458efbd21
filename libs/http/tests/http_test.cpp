#include "free_address.h"
#include "http/http_client.h"
#include "http/http_server.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace fulmarworks;

namespace {

constexpr time_ms limit_ms = 10000;

} // namespace

TEST_CASE("the server responds immediately or later, and bodies arrive complete") {
    event_loop loop;
    const std::string address = free_address();
    std::unique_ptr<http_server> server;
    std::uint64_t deferred_token = 0;
    auto built = http_server::Builder()
                     .address(address)
                     .max_body_bytes(4096)
                     .on_request([&](const http_request& r, std::uint64_t token) {
                         if (r.path == "/later") {
                             deferred_token = token;
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
    REQUIRE(loop.run_until([&] { return deferred_token != 0; }, limit_ms));
    client.send({"GET", address, "/y", "", 2000}, record);
    REQUIRE(loop.run_until([&] { return answers.size() == 2; }, limit_ms));
    server->respond(deferred_token, {503, "late", "text/plain", 1500});
    REQUIRE(loop.run_until([&] { return answers.size() == 3; }, limit_ms));
    CHECK(answers[2].status == 503);
    CHECK(answers[2].retry_after_ms == 2000);
    client.send({"POST", address, "/big", std::string(10000, 'x'), 2000}, record);
    REQUIRE(loop.run_until([&] { return answers.size() == 4; }, limit_ms));
    CHECK(answers[3].status != 200);
}

TEST_CASE("calls to a closed port and to a server that never responds end with status 0") {
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
    CHECK(query_value("a=x%00y", "a") == std::string("x\0y", 3));
    const std::string long_text(100'000, 'x');
    for (const std::string& text :
         {std::string(":80"), std::string("1.2.3.4:"), std::string("1.2.3.4:-1"),
          std::string("a-host:80"), std::string("[::1]:80"), std::string("1.2.3.4\n:80"),
          std::string("1.2.3.4\0:80", 11), long_text}) {
        const auto parsed = parse_address(text);
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().message.size() < 1000);
        CHECK(parsed.error().message.find('\n') == std::string::npos);
    }
}

// A caller whose handler ran within send() would change its state while it uses it.
TEST_CASE("the handler of a call that fails at once runs after the call has returned") {
    event_loop loop;
    http_client client(loop);
    for (const char* address : {"255.255.255.255:9", "127.0.0.1:0", "odd-host.invalid:80"}) {
        INFO(address);
        bool returned = false;
        bool ended = false;
        client.send({"GET", address, "/", "", 500}, [&](const http_answer& a) {
            CHECK(a.status == 0);
            CHECK(returned);
            ended = true;
        });
        returned = true;
        REQUIRE(loop.run_until([&] { return ended; }, limit_ms));
    }
}

TEST_CASE("a client may be destroyed as soon as its call has ended") {
    event_loop loop;
    auto client = std::make_unique<http_client>(loop);
    bool ended = false;
    client->send({"GET", free_address(), "/", "", 500}, [&](const http_answer&) { ended = true; });
    while (!ended) {
        loop.run_until([&] { return ended; }, limit_ms);
    }
    client.reset();
    loop.run_until([] { return false; }, 50);
    CHECK(ended);
}

namespace {

int connect_to(const std::string& address) {
    const auto where = parse_address(address).value();
    const int s = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a = {};
    a.sin_family = AF_INET;
    a.sin_port = htons(where.port);
    inet_pton(AF_INET, where.ip.c_str(), &a.sin_addr);
    REQUIRE(connect(s, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0);
    return s;
}

std::string read_available(int s) {
    std::string text(4096, '\0');
    const ssize_t size = recv(s, text.data(), text.size(), MSG_DONTWAIT);
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
}

} // namespace

// Guards against a request line that loses its query when it arrives in two packets: a request for
// a known job was then answered with 410.
TEST_CASE("a request in two packets is read completely, whatever the split position") {
    event_loop loop;
    const std::string address = free_address();
    std::unique_ptr<http_server> server;
    auto built = http_server::Builder()
                     .address(address)
                     .header("X-Key")
                     .on_request([&](const http_request& r, std::uint64_t token) {
                         server->respond(token, {200, r.path + "?" + r.query + r.headers[0]});
                     })
                     .build(loop);
    REQUIRE(built);
    server = std::move(built.value());
    const std::string request =
        "GET /v1/leader/job/e30dfe?known=12 HTTP/1.1\r\nHost: a\r\nX-Key: k1\r\n\r\n";
    const int s = connect_to(address);
    for (std::size_t split = 1; split < request.size(); ++split) {
        send(s, request.data(), split, 0);
        loop.run_until([] { return false; }, 3);
        send(s, request.data() + split, request.size() - split, 0);
        std::string answer;
        loop.run_until(
            [&] {
                answer += read_available(s);
                return answer.find("k1") != std::string::npos;
            },
            200);
        INFO("split at " << split << ": " << answer);
        CHECK(answer.find("/v1/leader/job/e30dfe?known=12k1") != std::string::npos);
    }
    close(s);
}
