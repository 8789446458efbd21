#include "crowd.h"
#include "process_usage.h"
#include "test_cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <unistd.h>

using namespace fulmarworks;
using namespace fulmarworks::crowd;

namespace {

constexpr std::size_t megabyte = std::size_t{1024} * 1024;
/** Limits that the settings of the instance state, and the tests' bounds. */
constexpr std::size_t memory_limit_mb = 48;
constexpr std::size_t descriptor_limit = 256;
constexpr int few_clients = 8;
constexpr std::size_t permitted_body_bytes = 250'000;
constexpr time_ms crowd_limit_ms = 15'000;

cluster_options one_instance() {
    cluster_options options;
    options.instances = 1;
    options.extra_settings = "memory_mb: " + std::to_string(memory_limit_mb) +
                             "\nmax_open_files: " + std::to_string(descriptor_limit) + "\n";
    return options;
}

/** One instance as a process, with the stand-ins that it needs. */
class crowded_instance {
public:
    crowded_instance() { REQUIRE(cluster.publish()); }

    void run(hostile_crowd& crowd) {
        const time_ms end = monotonic_now() + crowd_limit_ms;
        while (monotonic_now() < end && !crowd.is_quiet() && is_alive()) {
            crowd.advance();
            observe();
            constexpr useconds_t pause_us = 5000;
            usleep(pause_us);
        }
    }

    /** Returns whether an ordinary caller's submission is accepted, after retries if need be. */
    [[nodiscard]] bool serves_a_submission() {
        const json body =
            submission("ghent", "job-" + std::to_string(next_job_++), "slurry-fit", 1, 1, 100);
        constexpr time_ms timeout_ms = 6000;
        return test_cluster::wait_for(
            [&] {
                const int status = cluster.call(0, "POST", "/v1/jobs", body, timeout_ms).status;
                observe();
                return status == 200 || status == 202;
            },
            60'000);
    }

    void check_usage() {
        const std::size_t memory_mb = peak_memory_bytes(cluster.instance(0).id()) / megabyte;
        CHECK(is_alive());
        CHECK(memory_mb > 0);
        CHECK(memory_mb <= memory_limit_mb);
        CHECK(peak_descriptors_ > 0);
        CHECK(peak_descriptors_ <= descriptor_limit);
    }

    test_cluster cluster{one_instance()};

private:
    [[nodiscard]] bool is_alive() { return !cluster.instance(0).wait(0).has_value(); }

    void observe() {
        peak_descriptors_ = std::max(peak_descriptors_, open_descriptors(cluster.instance(0).id()));
    }

    std::uint64_t next_job_ = 0;
    std::size_t peak_descriptors_ = 0;
};

void check_survives(const std::function<crowd_plan(const test_cluster&)>& make_plan) {
    crowded_instance instance;
    {
        hostile_crowd crowd(make_plan(instance.cluster));
        instance.run(crowd);
        INFO(crowd.bytes_sent() << " bytes over " << crowd.connections_opened() << " connections, "
                                << crowd.connections_open() << " still open");
        CHECK(instance.serves_a_submission());
        instance.check_usage();
    }
    CHECK(instance.serves_a_submission());
    instance.check_usage();
}

/** First bytes of a subscriber's connection: the protocol header of SP over TCP (nanomsg RFC
 * "sp-tcp-mapping-01") with the endpoint type of SUB. */
std::string subscriber_greeting() {
    return {'\0', 'S', 'P', '\0', '\0', '\x21', '\0', '\0'};
}

/** Returns a message's length as SP over TCP encodes it: 64 bits, big-endian. */
std::string message_length(std::uint64_t bytes) {
    std::string text;
    for (int shift = 56; shift >= 0; shift -= 8) {
        text += static_cast<char>(bytes >> shift & 0xff);
    }
    return text;
}

} // namespace

// Guards against headers that are kept in many times the bytes that were sent.
TEST_CASE("serve api: a head of short lines without end") {
    check_survives([](const test_cluster& c) {
        return flood(c.address(0), 1, "GET /v1/state HTTP/1.1\r\n", "a:b\r\n");
    });
}

// Guards against a line that is kept, and searched again with each packet, until it ends.
TEST_CASE("serve api: a request line without end") {
    check_survives(
        [](const test_cluster& c) { return flood(c.address(0), few_clients, "GET /", "a"); });
}

// Guards against a part of the encoding that neither the limit of heads nor that of bodies counts.
TEST_CASE("serve api: the size line of a piece without end") {
    check_survives([](const test_cluster& c) {
        return flood(c.address(0), few_clients,
                     "POST /v1/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;", "a");
    });
}

// Guards against a server that reads on while its client takes no answers.
TEST_CASE("serve api: requests sent ahead at a path without a route") {
    check_survives([](const test_cluster& c) {
        return flood(c.address(0), few_clients, "", "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n");
    });
}

// Guards against answers that are much larger than their requests, and not taken.
TEST_CASE("serve api: metrics requests sent ahead") {
    check_survives([](const test_cluster& c) {
        return flood(c.address(0), few_clients, "", "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    });
}

// Guards against connections that take the descriptors of the log, workers and other instances.
TEST_CASE("serve api: more connections than descriptors and all idle") {
    check_survives([](const test_cluster& c) { return held_connections(c.address(0), ""); });
}

// Guards against permitted bodies of many clients that together exceed the memory.
TEST_CASE("serve api: bodies inside the limit that never end") {
    check_survives([](const test_cluster& c) {
        const std::string head = "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                                 std::to_string(permitted_body_bytes) + "\r\n\r\n";
        return held_connections(c.address(0), head + std::string(permitted_body_bytes - 1, 'a'));
    });
}

// Guards against subscribers without number.
TEST_CASE("serve peers: more connections than descriptors and all idle") {
    check_survives([](const test_cluster& c) {
        return held_connections(c.peer_address(0), subscriber_greeting());
    });
}

// Guards against connections that are counted only after their greeting.
TEST_CASE("serve peers: more connections than descriptors without a greeting") {
    check_survives([](const test_cluster& c) { return held_connections(c.peer_address(0), ""); });
}

// Guards against messages to a publisher, which has no use for them, that are read until they end.
TEST_CASE("serve peers: messages of a megabyte that never end") {
    check_survives([](const test_cluster& c) {
        constexpr std::size_t size = megabyte - 1;
        crowd_plan plan =
            held_connections(c.peer_address(0), subscriber_greeting() + message_length(size) +
                                                    std::string(size - 1, 'a'));
        plan.clients = 100;
        plan.max_connections = 200;
        return plan;
    });
}
