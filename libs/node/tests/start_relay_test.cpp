#include "base/json.h"
#include "payload_cache.h"
#include "start_batch.h"
#include "start_relay.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;
using scheduler::order_failure;

namespace {

constexpr time_ms wait_limit_ms = 5000;

scheduler::send_start make_start(const std::string& job, std::uint32_t index,
                                 const std::string& address) {
    scheduler::send_start s;
    s.where = {"w1", 0};
    s.address = address;
    s.task = {job, 0, 0, index};
    s.run = 3;
    s.deadline_at_worker_ms = 4711;
    s.checkpoint = "00aa";
    return s;
}

/** A worker that answers with the given status, and keeps the bodies that it received. */
struct worker_standin {
    event_loop& loop;
    int status = 200;
    std::string answer = R"({"clockMs":1})";
    bool silent = false;
    std::vector<json> received;
    std::unique_ptr<http_server> server;
    std::string address;

    explicit worker_standin(event_loop& l) : loop(l) {
        for (int port = 23100; server == nullptr && port < 23400; ++port) {
            address = "127.0.0.1:" + std::to_string(port);
            auto built = http_server::Builder()
                             .address(address)
                             .on_request([this](const http_request& r, std::uint64_t token) {
                                 received.push_back(json::parse(r.body));
                                 if (!silent) {
                                     http_response response;
                                     response.status = status;
                                     response.body = answer;
                                     server->respond(token, response);
                                 }
                             })
                             .build(loop);
            if (built) {
                server = std::move(built.value());
            }
        }
        REQUIRE(server);
    }
};

struct relay_fixture {
    event_loop loop;
    http_client http{loop};
    payload_cache payloads{10'000};
    metrics counters;
    start_relay relay{http, payloads, counters};

    /** Sends a batch that the relay may send for long enough. */
    std::vector<start_result> send(start_batch batch) {
        batch.receiver = relay.clock().process;
        batch.send_until_ms = relay.clock().clock_ms + wait_limit_ms;
        return send_as_is(batch);
    }

    std::vector<start_result> send_as_is(const start_batch& batch) {
        http_request request;
        request.path = start_batch_path;
        request.body = encode_start_batch(batch);
        std::optional<http_response> response;
        REQUIRE(relay.handle(request, [&](const http_response& r) { response = r; }));
        REQUIRE(loop.run_until([&] { return response.has_value(); }, wait_limit_ms));
        REQUIRE(response->status == 200);
        const auto results = decode_start_results(response->body, batch.starts.size());
        REQUIRE(results);
        return results.value();
    }
};

} // namespace

TEST_CASE("a host starts a task for the leader with its token, deadline and the job's payload") {
    relay_fixture f;
    worker_standin worker(f.loop);
    f.payloads.add("a", "text");
    const auto results = f.send({7, "", 0, {}, {make_start("a", 2, worker.address)}});
    CHECK(results[0].outcome == start_outcome::accepted);
    REQUIRE(worker.received.size() == 1);
    CHECK(worker.received[0].at("spec") == "text");
    CHECK(worker.received[0].at("fencingToken") == 7);
    CHECK(worker.received[0].at("deadlineMs") == 4711);
    CHECK(worker.received[0].at("run") == 3);
    CHECK(worker.received[0].at("checkpoint") == "00aa");
}

TEST_CASE("a start whose payload a host doesn't have is not sent") {
    relay_fixture f;
    worker_standin worker(f.loop);
    f.payloads.add("a", "text");
    const auto results =
        f.send({7,
                "",
                0,
                {},
                {make_start("unknown", 0, worker.address), make_start("a", 0, worker.address)}});
    CHECK(results[0].outcome == start_outcome::payload_missing);
    CHECK(results[1].outcome == start_outcome::accepted);
    CHECK(worker.received.size() == 1);
}

TEST_CASE("payloads that come with a batch are used and kept") {
    relay_fixture f;
    worker_standin worker(f.loop);
    CHECK(f.send({7, "", 0, {{"a", "text"}}, {make_start("a", 0, worker.address)}})[0].outcome ==
          start_outcome::accepted);
    CHECK(f.send({7, "", 0, {}, {make_start("a", 1, worker.address)}})[0].outcome ==
          start_outcome::accepted);
}

// A paused host may send a start of a deposed leader later. The worker refuses it, and the leader
// that hears of that refusal steps down.
TEST_CASE("refusals of a worker reach the leader with their reason") {
    relay_fixture f;
    worker_standin worker(f.loop);
    f.payloads.add("a", "text");
    worker.status = 409;
    const std::pair<const char*, order_failure> refusals[] = {
        {"fence", order_failure::fenced},
        {"old", order_failure::superseded},
        {"late", order_failure::expired},
        {"room", order_failure::no_capacity},
    };
    for (const auto& [reason, failure] : refusals) {
        worker.answer = json({{"clockMs", 1}, {"reason", reason}}).dump();
        const auto results = f.send({7, "", 0, {}, {make_start("a", 0, worker.address)}});
        CHECK(results[0].outcome == start_outcome::refused);
        CHECK(results[0].failure == failure);
    }
    worker.silent = true;
    const auto results = f.send({7, "", 0, {}, {make_start("a", 0, worker.address)}});
    CHECK(results[0].failure == order_failure::no_answer);
}

// A host that was frozen reads a batch that the leader gave up seconds ago. The worker may have
// started again since, and have forgotten that the run has ended.
TEST_CASE("a batch whose time is over is not sent, though the worker would take its starts") {
    relay_fixture f;
    worker_standin worker(f.loop);
    f.payloads.add("a", "text");
    start_batch batch{7,
                      f.relay.clock().process,
                      f.relay.clock().clock_ms - 1,
                      {},
                      {make_start("a", 0, worker.address)}};
    auto results = f.send_as_is(batch);
    CHECK(results[0].outcome == start_outcome::refused);
    CHECK(results[0].failure == order_failure::not_sent);
    SECTION("nor one for an earlier life of the process, whose clock says nothing") {
        batch.receiver = "earlier";
        batch.send_until_ms = f.relay.clock().clock_ms + wait_limit_ms;
        results = f.send_as_is(batch);
        CHECK(results[0].failure == order_failure::not_sent);
    }
    SECTION("nor one without a time, as of another release") {
        results = f.send_as_is({7, "", 0, {}, {make_start("a", 0, worker.address)}});
        CHECK(results[0].failure == order_failure::not_sent);
    }
    CHECK(worker.received.empty());
}

// A slow host may take long to open the connection.
TEST_CASE("a start whose time ends while its connection opens is not sent") {
    relay_fixture f;
    worker_standin worker(f.loop);
    f.payloads.add("a", "text");
    const start_batch batch{7,
                            f.relay.clock().process,
                            f.relay.clock().clock_ms + 1,
                            {},
                            {make_start("a", 0, worker.address)}};
    http_request request;
    request.path = start_batch_path;
    request.body = encode_start_batch(batch);
    std::optional<http_response> response;
    REQUIRE(f.relay.handle(request, [&](const http_response& r) { response = r; }));
    const time_ms late_at = f.relay.clock().clock_ms + 5;
    while (f.relay.clock().clock_ms < late_at) {
    }
    REQUIRE(f.loop.run_until([&] { return response.has_value(); }, wait_limit_ms));
    const auto results = decode_start_results(response->body, 1);
    REQUIRE(results);
    CHECK(results.value()[0].failure == order_failure::not_sent);
    CHECK(worker.received.empty());
}

TEST_CASE("malformed batches are rejected whole") {
    relay_fixture f;
    for (const std::string body :
         {"", "{}", "[]", R"({"token":1,"payloads":{},"starts":[[1]]})",
          R"({"token":1,"payloads":{},"starts":[["w","1.1.1.1:1","a.0.0",1,2,""]]})",
          R"({"token":1,"payloads":{"a":1},"starts":[]})"}) {
        http_request request;
        request.path = start_batch_path;
        request.body = body;
        int status = 0;
        REQUIRE(f.relay.handle(request, [&](const http_response& r) { status = r.status; }));
        CHECK(status == 400);
    }
    start_batch large;
    large.starts.resize(max_starts_per_batch + 1, make_start("a", 0, "127.0.0.1:1"));
    CHECK_FALSE(decode_start_batch(encode_start_batch(large)));
}

TEST_CASE("results with a wrong count are an error, and unknown results count as no answer") {
    CHECK_FALSE(decode_start_results(R"({"results":["accepted"]})", 2));
    CHECK_FALSE(decode_start_results(R"({"results":[1]})", 1));
    CHECK_FALSE(decode_start_results("\xff", 1));
    const auto results = decode_start_results(R"({"results":["new_word"]})", 1);
    REQUIRE(results);
    CHECK(results.value()[0].outcome == start_outcome::refused);
    CHECK(results.value()[0].failure == order_failure::no_answer);
}

TEST_CASE("a full payload cache drops the oldest payload") {
    payload_cache cache(10);
    cache.add("a", "1234");
    cache.add("b", "5678");
    cache.add("c", "90");
    REQUIRE(cache.find("a"));
    cache.add("d", "x");
    CHECK(cache.find("a") == nullptr);
    CHECK(*cache.find("b") == "5678");
    cache.add("b", "other");
    CHECK(*cache.find("b") == "5678");
    cache.add("huge", std::string(11, 'x'));
    CHECK(cache.find("huge") == nullptr);
    CHECK(cache.find("d") != nullptr);
}
