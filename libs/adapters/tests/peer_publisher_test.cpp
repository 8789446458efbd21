#include "adapters/peer_link.h"
#include "free_address.h"
#include "peer_publisher.h"
#include "raw_client.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace fulmarworks;

namespace {

constexpr time_ms limit_ms = 10'000;
constexpr std::size_t max_connections = 4;

const std::string greeting("\0SP\0\0\x21\0\0", 8);
const std::string answer("\0SP\0\0\x20\0\0", 8);

struct limited_publisher {
    limited_publisher() {
        auto listening = peer_publisher::listen(loop, address, max_connections);
        REQUIRE(listening);
        publisher = std::move(listening.value());
    }

    [[nodiscard]] bool wait_for(const std::function<bool()>& condition) {
        return loop.run_until(condition, limit_ms);
    }

    /** Connects, greets and waits for the answer. */
    std::unique_ptr<raw_client> subscribe() {
        auto client = std::make_unique<raw_client>(address);
        client->send(greeting);
        REQUIRE(wait_for([&] { return client->receive() == answer; }));
        return client;
    }

    event_loop loop;
    std::string address = free_address();
    std::unique_ptr<peer_publisher> publisher;
};

} // namespace

TEST_CASE("a subscriber gets messages with their lengths") {
    limited_publisher p;
    const auto client = p.subscribe();
    p.loop.run_until([] { return false; }, 20);
    p.publisher->publish("abc");
    const std::string expected = answer + std::string("\0\0\0\0\0\0\0\x03", 8) + "abc";
    CHECK(p.wait_for([&] { return client->receive() == expected; }));
    CHECK(p.publisher->rejected_connections() == 0);
}

TEST_CASE("connections that don't greet make way for those that do") {
    limited_publisher p;
    std::vector<std::unique_ptr<raw_client>> silent;
    for (std::size_t i = 0; i < max_connections; ++i) {
        silent.push_back(std::make_unique<raw_client>(p.address));
    }
    REQUIRE(p.wait_for([&] { return silent.back()->receive() == answer; }));
    const auto client = p.subscribe();
    CHECK(p.wait_for([&] { return silent.front()->is_closed(); }));
    CHECK_FALSE(silent.back()->is_closed());
    CHECK(p.publisher->rejected_connections() == 1);
}

TEST_CASE("subscriptions of known hosts are kept when all connections are in use") {
    limited_publisher p;
    p.publisher->set_known_hosts({"127.0.0.1"});
    std::vector<std::unique_ptr<raw_client>> peers;
    for (std::size_t i = 0; i < max_connections; ++i) {
        peers.push_back(p.subscribe());
    }
    raw_client late(p.address);
    CHECK(p.wait_for([&] { return late.is_closed(); }));
    CHECK_FALSE(peers.front()->is_closed());
    p.publisher->set_known_hosts({});
    const auto next = p.subscribe();
    CHECK(p.wait_for([&] { return peers.front()->is_closed(); }));
}

TEST_CASE("a connection with another greeting, or that sends more, is closed") {
    limited_publisher p;
    raw_client other(p.address);
    other.send("GET / HTTP/1.1\r\n\r\n");
    CHECK(p.wait_for([&] { return other.is_closed(); }));
    const auto talking = p.subscribe();
    talking->send(std::string("\0\0\0\0\0\x0f\xff\xff", 8) + std::string(100'000, 'a'));
    CHECK(p.wait_for([&] { return talking->is_closed(); }));
    CHECK(p.publisher->rejected_connections() == 2);
}

TEST_CASE("a subscriber that reads nothing misses messages, and others get them") {
    limited_publisher p;
    const auto slow = p.subscribe();
    const auto client = p.subscribe();
    p.loop.run_until([] { return false; }, 20);
    const std::string message(10'000, 'x');
    constexpr std::size_t messages = 3000;
    for (std::size_t i = 0; i < messages; ++i) {
        p.publisher->publish(message);
        REQUIRE(p.wait_for([&] {
            return client->receive().size() == answer.size() + (i + 1) * (message.size() + 8);
        }));
    }
    CHECK(slow->receive().size() < client->receive().size());
}

// Guards against an end of the process that waits for ever: closing a subscriber of nng hung while
// its publisher closed, in one of some hundred rounds.
TEST_CASE("two links exchange messages, and closing them ends") {
    constexpr int rounds = 100;
    for (int round = 0; round < rounds; ++round) {
        event_loop loop;
        const std::vector<std::string> addresses = {free_address(), free_address()};
        std::vector<std::unique_ptr<peer_link>> links;
        int received = 0;
        for (const auto& address : addresses) {
            auto link = peer_link::listen(loop, address, max_connections,
                                          [&](const peer_message&) { ++received; });
            REQUIRE(link);
            links.push_back(std::move(link.value()));
        }
        peer_message message;
        message.address = addresses[0];
        links[1]->follow(addresses);
        REQUIRE(loop.run_until(
            [&] {
                links[0]->publish(message);
                return received > 0;
            },
            limit_ms));
        for (auto& link : links) {
            link->close();
        }
    }
}
