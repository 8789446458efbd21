#include "crowd_checks.h"
#include "soak_client.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::crowd;

namespace {

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

} // namespace

// Guards against headers that are kept in many times the bytes that were sent.
TEST_CASE("entry callers: a head of short lines without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), 1, "GET /normal/0 HTTP/1.1\r\n", "a:b\r\n");
    });
}

// Guards against a line that is kept, and searched again with each packet, until it ends.
TEST_CASE("entry callers: a request line without end") {
    check_survives(
        [](const crowded_host& h) { return flood(h.caller_address(), few_clients, "GET /", "a"); });
}

// Guards against a line that is kept, and searched again with each packet, until it ends.
TEST_CASE("entry callers: a header line without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients, "GET / HTTP/1.1\r\nX-A: ", "a");
    });
}

// Guards against bytes between requests that no limit counts.
TEST_CASE("entry callers: empty lines without end before a request") {
    check_survives(
        [](const crowded_host& h) { return flood(h.caller_address(), few_clients, "", "\r\n"); });
}

// Guards against a body that is read before its length is compared with the limit.
TEST_CASE("entry callers: a body far over the limit that is announced") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients,
                     head_with("/normal/" + job_id(1), "Content-Length: 9000000000\r\n"), "a");
    });
}

// Guards against a body of unknown length that is kept beyond the limit.
TEST_CASE("entry callers: a body in pieces without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients,
                     head_with("/normal/" + job_id(1), "Transfer-Encoding: chunked\r\n"),
                     "10\r\naaaaaaaaaaaaaaaa\r\n");
    });
}

// Guards against a part of the encoding that neither the limit of heads nor that of bodies counts.
TEST_CASE("entry callers: the size line of a piece without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients,
                     head_with("/normal/" + job_id(1), "Transfer-Encoding: chunked\r\n") + "5;",
                     "a");
    });
}

// Guards against headers after a body that the limit of heads doesn't count.
TEST_CASE("entry callers: trailers without end") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients,
                     head_with("/normal/" + job_id(1), "Transfer-Encoding: chunked\r\n") +
                         "1\r\na\r\n0\r\n",
                     "a:b\r\n");
    });
}

// Guards against a server that reads on while its client takes no answers.
TEST_CASE("entry callers: requests sent ahead at a path without a route") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients, "",
                     ordinary_head("GET", "/nothing/" + job_id(1)) + "\r\n");
    });
}

// Guards against a limit for each connection that doesn't bound the process.
TEST_CASE("entry callers: requests sent ahead by many clients of a megabyte each") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), many_clients, "",
                     ordinary_head("GET", "/nothing/" + job_id(1)) + "\r\n");
    });
}

// Guards against a server that reads on while a request waits for the leader.
TEST_CASE("entry callers: requests sent ahead with a key") {
    check_survives([](const crowded_host& h) {
        return flood(h.caller_address(), few_clients, "",
                     ordinary_head("GET", "/normal/" + job_id(1)) + "\r\n");
    });
}

// Guards against bodies that are kept behind a request that waits.
TEST_CASE("entry callers: requests with bodies sent ahead") {
    check_survives([](const crowded_host& h) {
        const std::size_t size = 100'000;
        return flood(
            h.caller_address(), few_clients, "",
            head_with("/nothing/" + job_id(1), "Content-Length: " + std::to_string(size) + "\r\n") +
                std::string(size, 'a'));
    });
}

// Guards against connections that take the descriptors of callers, workers and the store.
TEST_CASE("entry callers: more connections than descriptors and all idle") {
    check_survives([](const crowded_host& h) { return held_connections(h.caller_address(), ""); });
}

// Guards against a time limit between bytes that a slow client never meets.
TEST_CASE("entry callers: more connections than descriptors with a byte now and then") {
    check_survives([](const crowded_host& h) {
        crowd_plan plan = held_connections(h.caller_address(), "GET /");
        plan.repeated = "a";
        plan.bytes_per_step = 1;
        plan.max_bytes = 1000;
        return plan;
    });
}

// Guards against permitted heads of many clients that together exceed the memory.
TEST_CASE("entry callers: heads inside the limit that never end") {
    check_survives([](const crowded_host& h) {
        std::string head = "GET /normal/0 HTTP/1.1\r\n";
        while (head.size() < 7000) {
            head += "a:b\r\n";
        }
        return held_connections(h.caller_address(), head);
    });
}

// Guards against permitted bodies of many clients that together exceed the memory.
TEST_CASE("entry callers: bodies inside the limit that never end") {
    check_survives([](const crowded_host& h) {
        const std::string head =
            head_with("/normal/" + job_id(1),
                      "Content-Length: " + std::to_string(permitted_body_bytes) + "\r\n");
        return held_connections(h.caller_address(),
                                head + std::string(permitted_body_bytes - 1, 'a'));
    });
}

// Guards against submissions that are kept until their callers' deadlines, without a limit
// together.
TEST_CASE("entry callers: large submissions while the store is silent") {
    crowded_host host(soak::soak_configuration());
    std::string steps = "{}";
    for (int i = 1; i < 256; ++i) {
        steps += R"(,{"requiredLabel":")" + std::string(900, 'x') + R"("})";
    }
    const std::string body = R"({"spec":"","steps":[)" + steps + "]}";
    crowd_plan plan = flood(host.caller_address(), many_clients, "",
                            head_with("/normal/" + job_id(1),
                                      "Content-Length: " + std::to_string(body.size()) + "\r\n") +
                                body);
    check_survives_silent_store(host, plan);
}

// Guards against submissions that are kept, and not counted, after their callers have left, for as
// long as they said that they would wait.
TEST_CASE("entry callers: large submissions whose callers leave while the store is silent") {
    crowded_host host(soak::soak_configuration());
    const std::string body =
        R"({"spec":"","steps":[{"requiredLabel":")" + std::string(200'000, 'x') + R"("}]})";
    const std::string request = "POST /normal/" + job_id(1) +
                                " HTTP/1.1\r\nHost: soak.example\r\nX-Api-Key: soak-key\r\n"
                                "X-Fulmarworks-Deadline-Ms: 9000000000000000\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body;
    crowd_plan plan = flood(host.caller_address(), few_clients, "", request);
    plan.bytes_per_connection = request.size();
    check_survives_silent_store(host, plan);
}

// Guards against small requests for jobs that are large in the leader, and in the next one. The
// crowd is one account's, and the ordinary caller another's.
TEST_CASE("entry callers: accepted jobs of very many tasks") {
    crowded_host host(configuration_with_account("crowd", "crowd-key"));
    check_survives(host, submissions(host, 40, 19'000));
}

// Guards against jobs that are each inside the limits and together exceed the leader's memory.
TEST_CASE("entry callers: very many accepted jobs of many tasks") {
    crowded_host host(configuration_with_account("crowd", "crowd-key"));
    check_survives(host, submissions(host, 400, 1000));
}
