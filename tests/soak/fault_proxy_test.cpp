#include "fault_proxy.h"
#include "free_ports.h"
#include "http/http_client.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;

namespace {

/** A proxy before a server that answers each request with its path. */
struct proxy_fixture {
    event_loop loop;
    int port = find_free_ports(2);
    std::string target = "127.0.0.1:" + std::to_string(port);
    std::string address = "127.0.0.1:" + std::to_string(port + 1);
    std::unique_ptr<http_server> server;
    std::unique_ptr<fault_proxy> proxy;
    http_client http{loop};

    proxy_fixture() {
        auto built = http_server::Builder()
                         .address(target)
                         .on_request([this](const http_request& r, std::uint64_t token) {
                             server->respond(token, {200, r.path});
                         })
                         .build(loop);
        REQUIRE(built);
        server = std::move(built.value());
        auto listening = fault_proxy::listen(loop, address, target);
        REQUIRE(listening);
        proxy = std::move(listening.value());
    }

    void get(const std::string& path, time_ms timeout_ms, http_client::answer_handler on_answer) {
        http_call call;
        call.address = address;
        call.target = path;
        call.timeout_ms = timeout_ms;
        http.send(call, std::move(on_answer));
    }
};

} // namespace

TEST_CASE("delayed data of a closed connection reaches no other connection") {
    proxy_fixture f;
    constexpr int rounds = 10;
    constexpr int connections = 20;
    int answers = 0;
    int wrong = 0;
    for (int i = 1; i <= rounds; ++i) {
        f.proxy->set_fault(proxy_fault::delay, 30, false);
        for (int k = 0; k < connections; ++k) {
            f.get("/cut", 500, [](const http_answer&) {});
        }
        f.loop.run_until([] { return false; }, 10);
        f.proxy->set_fault(proxy_fault::cut, 0, true);
        f.proxy->set_fault(proxy_fault::delay, 60, false);
        for (int k = 0; k < connections; ++k) {
            f.get("/kept", 500, [&](const http_answer& a) {
                ++answers;
                wrong += a.status == 200 && a.body == "/kept" ? 0 : 1;
            });
        }
        f.loop.run_until([&] { return answers == i * connections; }, 600);
    }
    CHECK(answers == rounds * connections);
    CHECK(wrong == 0);
}

TEST_CASE("data that follows delayed data on a connection does not overtake it") {
    proxy_fixture f;
    f.proxy->set_fault(proxy_fault::delay, 100, false);
    std::vector<std::string> bodies;
    f.get("/first", 1000, [&](const http_answer& a) { bodies.push_back(a.body); });
    f.loop.run_until([] { return false; }, 50);
    f.proxy->set_fault(proxy_fault::none, 0, false);
    f.loop.run_until([&] { return !bodies.empty(); }, 1000);
    f.get("/second", 1000, [&](const http_answer& a) { bodies.push_back(a.body); });
    f.loop.run_until([&] { return bodies.size() == 2; }, 1000);
    CHECK(bodies == std::vector<std::string>{"/first", "/second"});
}
