#include "adapters/peer_link.h"
#include "free_address.h"
#include "peer_publisher.h"
#include "peer_subscription.h"
#include "pubsub_protocol.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace fulmarworks;

namespace {

constexpr time_ms limit_ms = 10'000;
constexpr std::size_t max_connections = 4;

struct subscribed_publisher {
    [[nodiscard]] bool listen() {
        auto listening = peer_publisher::listen(loop, address, max_connections);
        if (listening) {
            publisher = std::move(listening.value());
        }
        return publisher != nullptr;
    }

    void subscribe() {
        subscription = std::make_unique<peer_subscription>(
            loop, address, [this](std::string_view text) { received.emplace_back(text); });
    }

    /** Publishes a message again and again until it has arrived; `received` has it last. */
    [[nodiscard]] bool exchanges(const std::string& message) {
        received.clear();
        return loop.run_until(
            [&] {
                subscription->maintain();
                publisher->publish(message);
                return !received.empty() && received.back() == message;
            },
            limit_ms);
    }

    event_loop loop;
    std::string address = free_address();
    std::unique_ptr<peer_publisher> publisher;
    std::unique_ptr<peer_subscription> subscription;
    std::vector<std::string> received;
};

} // namespace

TEST_CASE("lengths of messages are encoded in eight bytes") {
    CHECK(encode_length(0x0102) == std::string("\0\0\0\0\0\0\1\2", 8));
    CHECK(decode_length(encode_length(0xfedcba9876543210)) == 0xfedcba9876543210);
}

TEST_CASE("a subscription connects once its publisher is there, and again when it returns") {
    subscribed_publisher s;
    s.subscribe();
    s.loop.run_until([] { return false; }, 50);
    REQUIRE(s.listen());
    REQUIRE(s.exchanges("first"));
    s.publisher.reset();
    s.loop.run_until([] { return false; }, 50);
    REQUIRE(s.listen());
    CHECK(s.exchanges(std::string(60'000, 'x')));
}

// Guards against a publisher that announces more than it may send: the bytes would be kept until
// the message is whole.
TEST_CASE("a message above the limit ends the connection, and the next ones arrive") {
    subscribed_publisher s;
    REQUIRE(s.listen());
    s.subscribe();
    REQUIRE(s.exchanges("small"));
    s.publisher->publish(std::string(70'000, 'x'));
    CHECK(s.exchanges("next"));
}

TEST_CASE("a subscription may be destroyed by the handler of its message") {
    subscribed_publisher s;
    REQUIRE(s.listen());
    int count = 0;
    s.subscription = std::make_unique<peer_subscription>(s.loop, s.address, [&](std::string_view) {
        ++count;
        s.subscription.reset();
    });
    REQUIRE(s.loop.run_until(
        [&] {
            s.publisher->publish("a");
            return count > 0;
        },
        limit_ms));
    s.loop.run_until([] { return false; }, 50);
    CHECK(count == 1);
}

TEST_CASE("messages that aren't announcements of peers are ignored") {
    event_loop loop;
    const std::string publisher_address = free_address();
    auto publisher = peer_publisher::listen(loop, publisher_address, max_connections);
    REQUIRE(publisher);
    int received = 0;
    auto link = peer_link::listen(loop, free_address(), max_connections,
                                  [&](const peer_message&) { ++received; });
    REQUIRE(link);
    link.value()->follow(std::vector<std::string>{publisher_address, "no address"});
    peer_message message;
    message.name = "peer";
    REQUIRE(loop.run_until(
        [&] {
            for (const std::string text : {"", "nonsense", "[1]"}) {
                publisher.value()->publish(text);
            }
            publisher.value()->publish(json(message).dump());
            return received > 0;
        },
        limit_ms));
}
