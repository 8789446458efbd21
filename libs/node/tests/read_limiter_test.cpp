#include "page_timeout.h"
#include "read_limiter.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace fulmarworks;
using namespace fulmarworks::node;

TEST_CASE("reads above the limit wait, and start in order as others finish") {
    read_limiter limiter(2);
    std::vector<int> started;
    for (int i = 0; i < 4; ++i) {
        limiter.run([&started, i] { started.push_back(i); });
    }
    CHECK(started == std::vector<int>{0, 1});
    limiter.finished();
    CHECK(started == std::vector<int>{0, 1, 2});
    limiter.finished();
    limiter.finished();
    CHECK(started == std::vector<int>{0, 1, 2, 3});
    limiter.finished();
    limiter.run([&started] { started.push_back(4); });
    CHECK(started.back() == 4);
}

TEST_CASE("a read that can't start any more gives its place to the next") {
    read_limiter limiter(1);
    bool last_started = false;
    limiter.run([] {});
    limiter.run([&] { limiter.finished(); }); // its owner is gone
    limiter.run([&] { last_started = true; });
    limiter.finished();
    CHECK(last_started);
}

// Ten pages at once on a link of 2 Mbit/s delayed the renewals of the lease by more than its
// length.
TEST_CASE("the windows of all page reads together delay a lease renewal by less than 300 ms") {
    constexpr double window_bits = 64 * 1024 * 8;
    constexpr double allowed_delay_s = 0.3;
    for (const double link_mbps : {2.0, 10.0, 20.0, 200.0, 1000.0}) {
        const auto reads = static_cast<double>(max_page_reads(link_mbps));
        CHECK(reads >= 1);
        CHECK(reads * window_bits / (link_mbps * 1e6) <= allowed_delay_s);
    }
}

TEST_CASE("the timeout of a page doubles with each failure up to a limit") {
    page_timeout timeout;
    const time_ms first = timeout.ms();
    timeout.failed();
    CHECK(timeout.ms() == 2 * first);
    for (int i = 0; i < 10; ++i) {
        timeout.failed();
    }
    CHECK(timeout.ms() <= 6000);
    timeout.succeeded();
    CHECK(timeout.ms() == first);
}
