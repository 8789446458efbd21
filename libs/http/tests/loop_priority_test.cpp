#include "http/http_client.h"
#include "raw_server.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

using namespace fulmarworks;

namespace {

constexpr int calls = 300;
constexpr time_ms handler_ms = 5;
constexpr time_ms limit_ms = 20'000;

/** Busy work of this process. */
void work(time_ms duration_ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(duration_ms));
}

} // namespace

// Guards against a lease that isn't renewed while a leader handles the answers of hundreds of
// workers: the renewal waited behind all of them.
TEST_CASE("prompt timers and calls don't wait behind hundreds of answers") {
    event_loop loop;
    raw_server server;
    raw_server prompt_server;
    http_client client(loop);
    int handled = 0;
    for (int i = 0; i < calls; ++i) {
        client.send({"GET", server.address(), "/", "", limit_ms}, [&](const http_answer&) {
            work(handler_ms);
            ++handled;
        });
    }
    int handled_before_prompt = -1;
    http_call prompt{"GET", prompt_server.address(), "/", "", limit_ms};
    prompt.prompt = true;
    client.send(prompt, [&](const http_answer&) { handled_before_prompt = handled; });
    REQUIRE(loop.run_until(
        [&] { return server.receive_requests() == calls && prompt_server.receive_requests() == 1; },
        limit_ms));
    time_ms longest_pause = 0;
    time_ms last = monotonic_now();
    loop.every_promptly(25, [&] {
        longest_pause = std::max(longest_pause, monotonic_now() - last);
        last = monotonic_now();
    });
    server.answer_all();
    prompt_server.answer_all();
    REQUIRE(loop.run_until([&] { return handled == calls; }, limit_ms));
    CHECK(handled_before_prompt >= 0);
    CHECK(handled_before_prompt < calls / 4);
    CHECK(longest_pause < calls * handler_ms / 2);
}

// Guards against a host that is run for moments only, so that some timer is always due: it kept its
// lease, but read no answers for half a minute.
TEST_CASE("timers that are always due don't hold up answers") {
    event_loop loop;
    raw_server server;
    http_client client(loop);
    int handled = 0;
    client.send({"GET", server.address(), "/", "", limit_ms},
                [&](const http_answer&) { ++handled; });
    REQUIRE(loop.run_until([&] { return server.receive_requests() == 1; }, limit_ms));
    int turns = 0;
    std::function<void()> busy = [&] {
        ++turns;
        work(handler_ms);
        loop.after(0, busy);
    };
    busy();
    server.answer_all();
    CHECK(loop.run_until([&] { return handled == 1; }, 100 * handler_ms));
    CHECK(turns < 100);
}
