#include "free_ports.h"
#include "payload_cache.h"
#include "start_relay.h"
#include "start_sender.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;
using scheduler::order_failure;

namespace {

constexpr time_ms wait_limit_ms = 5000;
constexpr time_ms sending_limit_ms = 500;

/** A leader whose link has no room for direct starts, another host, and a worker. */
struct sender_fixture {
    event_loop loop;
    http_client http{loop};
    int port = find_free_ports(3);
    std::string worker_address = "127.0.0.1:" + std::to_string(port);
    std::string host_address = "127.0.0.1:" + std::to_string(port + 1);
    platform::store_client store{http, "127.0.0.1:" + std::to_string(port + 2)};
    decision_log log{"host"};
    metrics counters;
    peers peer_hosts{peer_context{loop, http, store, log, counters, "127.0.0.1:1",
                                  [](std::uint64_t) { return std::nullopt; },
                                  [](const store_view&, time_ms) {}, [] { return 0; }}};
    platform::worker_client workers{http};
    start_sender sender{{http, workers, peer_hosts, counters, 7, {}}};

    payload_cache payloads{10'000};
    std::unique_ptr<start_relay> relay = std::make_unique<start_relay>(http, payloads, counters);
    /** Time for which the host holds each batch back, as if it were slow. */
    time_ms batch_delay_ms = 0;
    int batches = 0;
    int starts = 0;
    std::unique_ptr<http_server> host;
    std::unique_ptr<http_server> worker;

    sender_fixture() {
        peer_hosts.add_member(host_address, 1);
        payloads.add("a", "text");
        host = serve(host_address, [this](const http_request& r, std::uint64_t token) {
            ++batches;
            loop.after(batch_delay_ms, [this, r, token] {
                relay->handle(r, [this, token](const http_response& answer) {
                    host->respond(token, answer);
                });
            });
        });
        worker = serve(worker_address, [this](const http_request&, std::uint64_t token) {
            ++starts;
            http_response response;
            response.body = R"({"clockMs":1})";
            worker->respond(token, response);
        });
    }

    std::unique_ptr<http_server>
    serve(const std::string& address,
          std::function<void(const http_request&, std::uint64_t)> on_request) {
        auto built =
            http_server::Builder().address(address).on_request(std::move(on_request)).build(loop);
        REQUIRE(built);
        return std::move(built.value());
    }

    scheduler::start_answered send_start() {
        scheduler::send_start order;
        order.where = {"w1", 1};
        order.address = worker_address;
        order.task = {"a", 0, 0, 0};
        order.run = 1;
        order.payload = "text";
        order.deadline_at_worker_ms = 4711;
        order.send_until_ms = boottime_now() + sending_limit_ms;
        std::optional<scheduler::start_answered> answer;
        sender.send(order, host_address, [&](const auto& a) { answer = a; });
        sender.flush();
        REQUIRE(loop.run_until([&] { return answer.has_value(); }, wait_limit_ms));
        return *answer;
    }
};

} // namespace

TEST_CASE("the first start through a host is sent, though its clock isn't known before") {
    sender_fixture f;
    CHECK(f.send_start().accepted);
    CHECK(f.batches == 2);
    CHECK(f.send_start().accepted);
    CHECK(f.batches == 3);
    CHECK(f.starts == 2);
}

TEST_CASE("a start through a host that restarted is sent, as the leader learns its new clock") {
    sender_fixture f;
    CHECK(f.send_start().accepted);
    f.relay = std::make_unique<start_relay>(f.http, f.payloads, f.counters);
    CHECK(f.send_start().accepted);
    CHECK(f.starts == 2);
}

// The batch waits at a host that is frozen or slow; the leader has given it up by then.
TEST_CASE("a host that handles a batch late sends none of its starts") {
    sender_fixture f;
    CHECK(f.send_start().accepted);
    f.batch_delay_ms = sending_limit_ms + 200;
    CHECK_FALSE(f.send_start().accepted);
    f.loop.run_until([] { return false; }, f.batch_delay_ms);
    CHECK(f.starts == 1);
}
