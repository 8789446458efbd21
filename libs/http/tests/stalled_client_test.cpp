#include "http/http_client.h"
#include "raw_server.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace fulmarworks;

namespace {

constexpr time_ms limit_ms = 10000;
constexpr time_ms timeout_ms = 400;

/** Blocks the calling thread, and with it the loop, as if the system didn't run the process. */
void stall(time_ms duration_ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(duration_ms));
}

struct call_results {
    int answered = 0;
    int failed = 0;

    [[nodiscard]] int total() const { return answered + failed; }
};

void send_calls(http_client& client, const std::string& address, int count, call_results& results) {
    for (int i = 0; i < count; ++i) {
        client.send({"GET", address, "/", "", timeout_ms}, [&](const http_answer& a) {
            ++(a.status == 200 ? results.answered : results.failed);
        });
    }
}

} // namespace

// Guards against giving up calls whose answers had arrived while this process wasn't run: hundreds
// of workers that were up then counted as unreachable.
TEST_CASE("a client that was stalled beyond the timeout takes the answers that have arrived") {
    const int calls = GENERATE(1, 40, 300);
    INFO(calls << " calls");
    event_loop loop;
    raw_server server;
    http_client client(loop);
    call_results results;
    send_calls(client, server.address(), calls, results);
    REQUIRE(loop.run_until([&] { return server.receive_requests() == calls; }, limit_ms));
    server.answer_all();
    stall(2 * timeout_ms);
    REQUIRE(loop.run_until([&] { return results.total() == calls; }, limit_ms));
    CHECK(results.failed == 0);
}

// Guards against a process that is run for a moment at a time: each stall brought further calls to
// their timeouts although it could not have read an answer.
TEST_CASE("time in which the client was stalled doesn't count towards the timeout") {
    event_loop loop;
    raw_server server;
    http_client client(loop);
    call_results results;
    send_calls(client, server.address(), 40, results);
    REQUIRE(loop.run_until([&] { return server.receive_requests() == 40; }, limit_ms));
    stall(2 * timeout_ms);
    loop.run_until([] { return false; }, timeout_ms / 4);
    CHECK(results.total() == 0);
    server.answer_all();
    REQUIRE(loop.run_until([&] { return results.total() == 40; }, limit_ms));
    CHECK(results.failed == 0);
}

TEST_CASE("a call that isn't answered ends at its timeout, and its connection is closed") {
    event_loop loop;
    raw_server server;
    http_client client(loop);
    call_results results;
    const time_ms begin = monotonic_now();
    send_calls(client, server.address(), 3, results);
    REQUIRE(loop.run_until([&] { return server.receive_requests() == 3; }, limit_ms));
    REQUIRE(loop.run_until([&] { return results.failed == 3; }, limit_ms));
    CHECK(monotonic_now() - begin >= timeout_ms * 9 / 10);
    CHECK(loop.run_until([&] { return server.open_connections() == 0; }, limit_ms));
}

// Guards against large answers on small links, which were given up in the middle and asked for
// again for ever.
TEST_CASE("a call whose answer keeps arriving isn't given up at its timeout") {
    event_loop loop;
    raw_server server;
    http_client client(loop);
    call_results results;
    send_calls(client, server.address(), 1, results);
    REQUIRE(loop.run_until([&] { return server.receive_requests() == 1; }, limit_ms));
    constexpr int parts = 6;
    server.send_to_all("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n");
    for (int i = 0; i < parts; ++i) {
        loop.run_until([] { return false; }, timeout_ms / 2);
        REQUIRE(results.total() == 0);
        server.send_to_all("x");
    }
    REQUIRE(loop.run_until([&] { return results.total() == 1; }, limit_ms));
    CHECK(results.answered == 1);
}

// Guards against a process that is run for moments only and waits for lost answers for many times
// their timeouts, so that the leases of workers run out meanwhile.
TEST_CASE("a call that isn't answered ends soon although the client is rarely run") {
    event_loop loop;
    raw_server server;
    http_client client(loop);
    call_results results;
    const time_ms begin = monotonic_now();
    send_calls(client, server.address(), 3, results);
    REQUIRE(loop.run_until([&] { return server.receive_requests() == 3; }, limit_ms));
    const time_ms end = begin + 5 * timeout_ms;
    while (results.total() < 3 && monotonic_now() < end) {
        stall(timeout_ms / 2);
        loop.run_until([&] { return results.total() == 3; }, 1);
    }
    CHECK(results.failed == 3);
}

// A server that sends part of an answer and nothing more is as silent as one that sends none.
TEST_CASE("a call whose answer stays incomplete ends at its timeout") {
    event_loop loop;
    raw_server server;
    http_client client(loop);
    call_results results;
    send_calls(client, server.address(), 1, results);
    REQUIRE(loop.run_until([&] { return server.receive_requests() == 1; }, limit_ms));
    server.send_to_all("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    REQUIRE(loop.run_until([&] { return results.total() == 1; }, limit_ms));
    CHECK(results.failed == 1);
}

// Guards against descriptors that are never returned: connections to workers that vanished without
// a reset were kept for good.
TEST_CASE("idle connections are reused at first and closed later") {
    event_loop loop;
    raw_server server;
    http_client client(loop);
    call_results results;
    send_calls(client, server.address(), 5, results);
    REQUIRE(loop.run_until([&] { return server.receive_requests() == 5; }, limit_ms));
    server.answer_all();
    REQUIRE(loop.run_until([&] { return results.answered == 5; }, limit_ms));
    loop.run_until([] { return false; }, 3 * timeout_ms);
    CHECK(server.open_connections() == 5);
    CHECK(loop.run_until([&] { return server.open_connections() == 0; }, 3 * limit_ms));
}

// Guards against a server that answers with headers without end: they took more memory than the
// whole process may use.
TEST_CASE("an answer whose head doesn't end fails its call") {
    event_loop loop;
    raw_server server;
    http_client client(loop);
    call_results results;
    send_calls(client, server.address(), 1, results);
    REQUIRE(loop.run_until([&] { return server.receive_requests() == 1; }, limit_ms));
    server.send_to_all("HTTP/1.1 200 OK\r\n");
    std::string lines;
    while (lines.size() < 16'384) {
        lines += "a:b\r\n";
    }
    for (int i = 0; i < 100 && results.total() == 0; ++i) {
        server.send_to_all(lines);
        loop.run_until([&] { return results.total() == 1; }, 2);
    }
    CHECK(results.failed == 1);
}
