#include "crowded_host.h"
#include "soak_client.h"
#include "start_batch.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <functional>
#include <sys/socket.h>
#include <unistd.h>

using namespace fulmarworks;
using namespace fulmarworks::crowd;

namespace {

constexpr std::size_t megabyte = std::size_t{1024} * 1024;
/** Enough for one client to take all memory of the host, several times over. */
constexpr std::size_t flood_bytes = 96 * megabyte;
constexpr int few_clients = 8;
constexpr int many_clients = 100;
/** More connections than the host has descriptors. */
constexpr int excessive_connections = 600;
/** A body inside the limit of the configuration (262,144 bytes). */
constexpr std::size_t permitted_body_bytes = 250'000;

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

std::string head_with(const std::string& address_path, const std::string& fields) {
    return ordinary_head("POST", address_path) + fields + "\r\n";
}

crowd_plan flood(const std::string& address, int clients, std::string first, std::string repeated) {
    crowd_plan plan;
    plan.address = address;
    plan.clients = clients;
    plan.first = std::move(first);
    plan.repeated = std::move(repeated);
    plan.max_bytes = flood_bytes / static_cast<std::size_t>(clients);
    return plan;
}

/** Connections that are opened and kept, whatever becomes of the others. */
crowd_plan held_connections(const std::string& address, std::string first) {
    crowd_plan plan;
    plan.address = address;
    plan.clients = excessive_connections;
    plan.first = std::move(first);
    plan.max_bytes = plan.first.size() + 1;
    plan.max_connections = 2 * excessive_connections;
    return plan;
}

void check_usage(crowded_host& host) {
    CHECK(host.is_alive());
    CHECK(host.peak_memory_mb() > 0);
    CHECK(host.peak_memory_mb() <= memory_limit_mb);
    CHECK(host.peak_descriptors() > 0);
    CHECK(host.peak_descriptors() <= descriptor_limit);
}

/** Runs a crowd against a host and checks the host, both beside the crowd and after it. */
void check_survives(crowded_host& host, const crowd_plan& plan) {
    {
        hostile_crowd crowd(plan);
        host.run(crowd);
        INFO(crowd.bytes_sent() << " bytes over " << crowd.connections_opened() << " connections, "
                                << crowd.connections_open() << " still open");
        CHECK(host.serves_a_submission());
        CHECK(host.is_ready());
        check_usage(host);
    }
    CHECK(host.serves_a_submission());
    CHECK(host.is_ready());
    check_usage(host);
}

/** Runs a crowd against a host with the configuration of the soak. */
void check_survives(const std::function<crowd_plan(const crowded_host&)>& make_plan) {
    crowded_host host(soak::soak_configuration());
    check_survives(host, make_plan(host));
}

/** Returns the configuration of the soak with a further account. */
std::string configuration_with_account(const std::string& name, const std::string& key) {
    json configuration = json::parse(soak::soak_configuration());
    configuration["tenants"].push_back({{"name", name}, {"apiKeys", {key}}});
    return configuration.dump();
}

/** Jobs that one client of the account "crowd" submits, one after the other. */
crowd_plan submissions(const crowded_host& host, std::uint64_t count, int tasks) {
    const std::string body =
        R"({"spec":"","steps":[{"count":)" + std::to_string(tasks) + R"(,"cpu":1000,"gpu":1}]})";
    crowd_plan plan;
    plan.address = host.caller_address();
    for (std::uint64_t i = 0; i < count; ++i) {
        plan.first += "POST /normal/" + job_id(1000 + i) +
                      " HTTP/1.1\r\nHost: soak.example\r\nX-Api-Key: crowd-key\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    plan.max_bytes = plan.first.size();
    plan.reads = true;
    plan.reconnects = false;
    return plan;
}

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

TEST_CASE("entry callers: a head of short lines without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), 1, "GET /normal/0 HTTP/1.1\r\n", "a:b\r\n");
    });
}

TEST_CASE("entry callers: a request line without end") {
    check_survives(
        [](const crowded_host& h) { return flood(h.caller_address(), few_clients, "GET /", "a"); });
}

TEST_CASE("entry callers: a header line without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients, "GET / HTTP/1.1\r\nX-A: ", "a");
    });
}

TEST_CASE("entry callers: empty lines without end before a request") {
    check_survives(
        [](const crowded_host& h) { return flood(h.caller_address(), few_clients, "", "\r\n"); });
}

TEST_CASE("entry callers: a body far over the limit that is announced") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients,
                     head_with("/normal/" + job_id(1), "Content-Length: 9000000000\r\n"), "a");
    });
}

TEST_CASE("entry callers: a body in pieces without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients,
                     head_with("/normal/" + job_id(1), "Transfer-Encoding: chunked\r\n"),
                     "10\r\naaaaaaaaaaaaaaaa\r\n");
    });
}

TEST_CASE("entry callers: the size line of a piece without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients,
                     head_with("/normal/" + job_id(1), "Transfer-Encoding: chunked\r\n") + "5;",
                     "a");
    });
}

TEST_CASE("entry callers: trailers without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients,
                     head_with("/normal/" + job_id(1), "Transfer-Encoding: chunked\r\n") +
                         "1\r\na\r\n0\r\n",
                     "a:b\r\n");
    });
}

TEST_CASE("entry callers: requests sent ahead at a path without a route") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients, "",
                     ordinary_head("GET", "/nothing/" + job_id(1)) + "\r\n");
    });
}

TEST_CASE("entry callers: requests sent ahead by many clients of a megabyte each") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), many_clients, "",
                     ordinary_head("GET", "/nothing/" + job_id(1)) + "\r\n");
    });
}

TEST_CASE("entry callers: requests sent ahead with a key") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients, "",
                     ordinary_head("GET", "/normal/" + job_id(1)) + "\r\n");
    });
}

TEST_CASE("entry callers: requests with bodies sent ahead") {
    check_survives([](const crowded_host& h) {
        const std::size_t size = 100'000;
        return flood(
            h.caller_address(), few_clients, "",
            head_with("/nothing/" + job_id(1), "Content-Length: " + std::to_string(size) + "\r\n") +
                std::string(size, 'a'));
    });
}

TEST_CASE("entry callers: more connections than descriptors and all idle") {
    check_survives([](const crowded_host& h) { return held_connections(h.caller_address(), ""); });
}

TEST_CASE("entry callers: more connections than descriptors with a byte now and then") {
    check_survives([](const crowded_host& h) {
        crowd_plan plan = held_connections(h.caller_address(), "GET /");
        plan.repeated = "a";
        plan.bytes_per_step = 1;
        plan.max_bytes = 1000;
        return plan;
    });
}

TEST_CASE("entry callers: heads inside the limit that never end") {
    check_survives([](const crowded_host& h) {
        std::string head = "GET /normal/0 HTTP/1.1\r\n";
        while (head.size() < 7000) {
            head += "a:b\r\n";
        }
        return held_connections(h.caller_address(), head);
    });
}

TEST_CASE("entry callers: bodies inside the limit that never end") {
    check_survives([](const crowded_host& h) {
        const std::string head =
            head_with("/normal/" + job_id(1),
                      "Content-Length: " + std::to_string(permitted_body_bytes) + "\r\n");
        return held_connections(h.caller_address(),
                                head + std::string(permitted_body_bytes - 1, 'a'));
    });
}

// While the store doesn't answer, submissions are kept until their callers' deadlines.
TEST_CASE("entry callers: large submissions while the store is silent") {
    crowded_host host(soak::soak_configuration());
    host.store().set_mode(soak::store_mode::lose_answers, 0);
    std::string steps = "{}";
    for (int i = 1; i < 256; ++i) {
        steps += R"(,{"requiredLabel":")" + std::string(900, 'x') + R"("})";
    }
    const std::string body = R"({"spec":"","steps":[)" + steps + "]}";
    crowd_plan plan = flood(host.caller_address(), many_clients, "",
                            head_with("/normal/" + job_id(1),
                                      "Content-Length: " + std::to_string(body.size()) + "\r\n") +
                                body);
    {
        hostile_crowd crowd(plan);
        host.run(crowd);
        CHECK(host.is_ready());
        check_usage(host);
        host.store().set_mode(soak::store_mode::up, 0);
        CHECK(host.serves_a_submission());
    }
    CHECK(host.serves_a_submission());
    check_usage(host);
}

// A submission goes on after its caller has left, for as long as the caller said that it would
// wait.
TEST_CASE("entry callers: large submissions whose callers leave while the store is silent") {
    crowded_host host(soak::soak_configuration());
    host.store().set_mode(soak::store_mode::lose_answers, 0);
    const std::string body =
        R"({"spec":"","steps":[{"requiredLabel":")" + std::string(200'000, 'x') + R"("}]})";
    const std::string request = "POST /normal/" + job_id(1) +
                                " HTTP/1.1\r\nHost: soak.example\r\nX-Api-Key: soak-key\r\n"
                                "X-Fulmarworks-Deadline-Ms: 9000000000000000\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body;
    crowd_plan plan = flood(host.caller_address(), few_clients, "", request);
    plan.bytes_per_connection = request.size();
    {
        hostile_crowd crowd(plan);
        host.run(crowd);
        INFO(crowd.bytes_sent() << " bytes over " << crowd.connections_opened() << " connections");
        CHECK(host.is_ready());
        check_usage(host);
        host.store().set_mode(soak::store_mode::up, 0);
        CHECK(host.serves_a_submission());
    }
    CHECK(host.serves_a_submission());
    check_usage(host);
}

// A leader keeps every accepted job until it has ended, and for a while after that. The crowd is
// one account's, and the ordinary caller another's.
TEST_CASE("entry callers: accepted jobs of very many tasks") {
    crowded_host host(configuration_with_account("crowd", "crowd-key"));
    check_survives(host, submissions(host, 40, 19'000));
}

TEST_CASE("entry callers: very many accepted jobs of many tasks") {
    crowded_host host(configuration_with_account("crowd", "crowd-key"));
    check_survives(host, submissions(host, 400, 1000));
}

TEST_CASE("entry readiness: a head of short lines without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.readiness_address(), 1, "GET /readyz HTTP/1.1\r\n", "a:b\r\n");
    });
}

TEST_CASE("entry readiness: probes sent ahead") {
    check_survives([](const crowded_host& h) {
        return flood(h.readiness_address(), few_clients, "",
                     "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n");
    });
}

TEST_CASE("entry readiness: bodies inside the limit that never end") {
    check_survives([](const crowded_host& h) {
        const std::string head = "POST /readyz HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                                 std::to_string(permitted_body_bytes) + "\r\n\r\n";
        return held_connections(h.readiness_address(),
                                head + std::string(permitted_body_bytes - 1, 'a'));
    });
}

TEST_CASE("entry readiness: more connections than descriptors and all idle") {
    check_survives(
        [](const crowded_host& h) { return held_connections(h.readiness_address(), ""); });
}

TEST_CASE("entry internal: a head of short lines without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.internal_address(), 1, "GET /metrics HTTP/1.1\r\n", "a:b\r\n");
    });
}

TEST_CASE("entry internal: metrics requests sent ahead") {
    check_survives([](const crowded_host& h) {
        return flood(h.internal_address(), few_clients, "",
                     "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    });
}

TEST_CASE("entry internal: answers of large size that are taken by nobody") {
    crowded_host host(large_configuration());
    check_survives(host, held_connections(host.internal_address(),
                                          "GET /v1/peer/view HTTP/1.1\r\nHost: a\r\n\r\n"));
}

TEST_CASE("entry internal: more connections than descriptors and all idle") {
    check_survives(
        [](const crowded_host& h) { return held_connections(h.internal_address(), ""); });
}

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

// The host forwards each submission of a peer to the store, and waits for its answer.
TEST_CASE("entry internal: submissions of peers while the store is silent") {
    crowded_host host(soak::soak_configuration());
    host.store().set_mode(soak::store_mode::lose_answers, 0);
    const std::string request =
        "POST /v1/peer/submission/" + job_id(1) +
        " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(permitted_body_bytes) +
        "\r\n\r\n" + std::string(permitted_body_bytes, 'a');
    {
        hostile_crowd crowd(flood(host.internal_address(), many_clients, "", request));
        host.run(crowd);
        CHECK(host.is_ready());
        check_usage(host);
        host.store().set_mode(soak::store_mode::up, 0);
        CHECK(host.serves_a_submission());
    }
    CHECK(host.serves_a_submission());
    check_usage(host);
}

// The host sends each start of a batch to the worker's address that the batch states.
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
