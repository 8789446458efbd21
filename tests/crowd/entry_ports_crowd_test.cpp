#include "crowd_checks.h"
#include "soak_client.h"
#include "start_batch.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace fulmarworks;
using namespace fulmarworks::crowd;

namespace {

/** A port whose connections are never accepted. */
class silent_listener {
public:
    silent_listener() {
        sockaddr_in any = {};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(descriptor_, reinterpret_cast<sockaddr*>(&any), sizeof any);
        listen(descriptor_, 4096);
    }
    ~silent_listener() { close(descriptor_); }
    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;

    [[nodiscard]] std::string address() const {
        sockaddr_in own = {};
        socklen_t size = sizeof own;
        getsockname(descriptor_, reinterpret_cast<sockaddr*>(&own), &size);
        return soak::loopback(ntohs(own.sin_port));
    }

private:
    int descriptor_ = socket(AF_INET, SOCK_STREAM, 0);
};

/** Returns a configuration of about 2 MB, which other entry hosts may ask for. */
std::string large_configuration() {
    json configuration = json::parse(soak::soak_configuration());
    for (int i = 0; i < 8000; ++i) {
        json route = configuration["routes"][0];
        route["name"] = "extra" + std::to_string(i);
        route["pathPrefix"] = "/extra" + std::to_string(i) + std::string(80, 'x') + "/";
        configuration["routes"].push_back(route);
    }
    return configuration.dump();
}

} // namespace

// Guards against a port without limits of its own beside a protected one.
TEST_CASE("entry readiness: a head of short lines without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.readiness_address(), 1, "GET /readyz HTTP/1.1\r\n", "a:b\r\n");
    });
}

// Guards against a probe's client that takes no answers.
TEST_CASE("entry readiness: probes sent ahead") {
    check_survives([](const crowded_host& h) {
        return flood(h.readiness_address(), few_clients, "",
                     "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n");
    });
}

// Guards against bodies on a port whose requests have none.
TEST_CASE("entry readiness: bodies inside the limit that never end") {
    check_survives([](const crowded_host& h) {
        const std::string head = "POST /readyz HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                                 std::to_string(permitted_body_bytes) + "\r\n\r\n";
        return held_connections(h.readiness_address(),
                                head + std::string(permitted_body_bytes - 1, 'a'));
    });
}

// Guards against connections to the probe's port that take the descriptors of callers.
TEST_CASE("entry readiness: more connections than descriptors and all idle") {
    check_survives(
        [](const crowded_host& h) { return held_connections(h.readiness_address(), ""); });
}

// Guards against a port without limits of its own beside a protected one.
TEST_CASE("entry internal: a head of short lines without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.internal_address(), 1, "GET /metrics HTTP/1.1\r\n", "a:b\r\n");
    });
}

// Guards against answers that are much larger than their requests, and not taken.
TEST_CASE("entry internal: metrics requests sent ahead") {
    check_survives([](const crowded_host& h) {
        return flood(h.internal_address(), few_clients, "",
                     "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    });
}

// Guards against answers whose size the client doesn't pay for, one for each connection.
TEST_CASE("entry internal: answers of large size that are taken by nobody") {
    crowded_host host(large_configuration());
    check_survives(host, held_connections(host.internal_address(),
                                          "GET /v1/peer/view HTTP/1.1\r\nHost: a\r\n\r\n"));
}

// Guards against connections to the internal port that take the descriptors of callers.
TEST_CASE("entry internal: more connections than descriptors and all idle") {
    check_survives(
        [](const crowded_host& h) { return held_connections(h.internal_address(), ""); });
}

// Guards against permitted bodies of many clients that together exceed the memory.
TEST_CASE("entry internal: bodies inside the limit that never end") {
    check_survives([](const crowded_host& h) {
        const std::string head =
            "POST /v1/peer/submission/" + job_id(1) +
            " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(permitted_body_bytes) +
            "\r\n\r\n";
        return held_connections(h.internal_address(),
                                head + std::string(permitted_body_bytes - 1, 'a'));
    });
}

// Guards against forwarded submissions that are kept until the store answers, without a limit.
TEST_CASE("entry internal: submissions of peers while the store is silent") {
    crowded_host host(soak::soak_configuration());
    const std::string request =
        "POST /v1/peer/submission/" + job_id(1) +
        " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(permitted_body_bytes) +
        "\r\n\r\n" + std::string(permitted_body_bytes, 'a');
    check_survives_silent_store(host, flood(host.internal_address(), many_clients, "", request));
}

// Guards against batches each of whose starts takes a descriptor until a stated address answers.
TEST_CASE("entry internal: batches of starts for a worker that doesn't answer") {
    crowded_host host(soak::soak_configuration());
    const silent_listener worker;
    node::start_batch batch;
    batch.fencing_token = 1;
    http_call call;
    call.method = "POST";
    call.address = host.internal_address();
    call.target = std::string(node::start_batch_path);
    call.body = node::encode_start_batch(batch);
    const auto clock = node::decode_clock(host.ask(call).body);
    REQUIRE(clock);
    batch.receiver = clock->process;
    constexpr time_ms an_hour_ms = 3'600'000;
    batch.send_until_ms = clock->clock_ms + an_hour_ms;
    batch.payloads[job_id(1)] = std::string(4000, 'x');
    for (std::uint32_t i = 0; i < node::max_starts_per_batch; ++i) {
        scheduler::send_start start;
        start.where.id = "w";
        start.address = worker.address();
        start.task = scheduler::task_id{job_id(1), 0, 0, i};
        start.run = 1;
        start.deadline_at_worker_ms = an_hour_ms;
        batch.starts.push_back(start);
    }
    const std::string body = node::encode_start_batch(batch);
    check_survives(host, flood(host.internal_address(), few_clients, "",
                               "POST " + call.target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body));
}

// Guards against limits of each port that together exceed those of the process.
TEST_CASE("entry: crowds on all ports together") {
    crowded_host host(soak::soak_configuration());
    const std::string partial = "Content-Length: " + std::to_string(permitted_body_bytes) + "\r\n";
    {
        hostile_crowd callers(held_connections(host.caller_address(),
                                               head_with("/normal/" + job_id(1), partial) +
                                                   std::string(permitted_body_bytes - 1, 'a')));
        hostile_crowd probes(held_connections(host.readiness_address(), ""));
        hostile_crowd peers(held_connections(host.internal_address(),
                                             "POST /v1/peer/submission/" + job_id(1) +
                                                 " HTTP/1.1\r\nHost: a\r\n" + partial + "\r\n" +
                                                 std::string(permitted_body_bytes - 1, 'a')));
        host.run(probes);
        host.run(peers);
        host.run(callers);
        CHECK(host.serves_a_submission());
        CHECK(host.is_ready());
        check_usage(host);
    }
    CHECK(host.serves_a_submission());
    CHECK(host.is_ready());
    check_usage(host);
}
