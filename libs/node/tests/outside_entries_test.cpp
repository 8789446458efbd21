#include "base/log_line.h"
#include "leadership.h"
#include "member_entry.h"
#include "worker_entry.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;

// An infinite share made the delay before a host takes a vacant lease undefined.
TEST_CASE("a member's share of a core is above 0 and not more than a host can have") {
    for (const char* share : {"inf", "-inf", "nan", "1e400", "1e308", "0", "-1", "", " 1", "1 ",
                              "1x", "0x10", "1025", "[]"}) {
        INFO(share);
        CHECK_FALSE(decode_member({0, "10.0.0.1:80", share}));
    }
    for (const char* address : {"", "a-host:80", "10.0.0.1", "10.0.0.1\n:80"}) {
        CHECK_FALSE(decode_member({0, address, "0.25"}));
    }
    const auto member = decode_member({0, "10.0.0.1:80", "0.120000"});
    REQUIRE(member);
    CHECK(member.value().cpu_share == Approx(0.12));
    CHECK(acquisition_delay(member.value().cpu_share, max_cpu_share) > 0);
    CHECK(acquisition_delay(max_cpu_share, member.value().cpu_share) == 0);
}

// A worker's own answers were taken for those of an earlier incarnation, so it was never used
// again.
TEST_CASE("an entry with a start in the future names no worker") {
    const auto entry = [](time_ms born) {
        return platform::logged_record{
            0, "i-1",
            R"({"service":"pool","address":"10.0.0.1:80","zone":"z","state":"ready","labels":[],)"
            R"("capacity":{"cpu":1},"born":)" +
                std::to_string(born) + "}"};
    };
    constexpr time_ms now = 1'700'000'000'000;
    CHECK(decode_worker_entry(entry(now - 1000), now));
    CHECK(decode_worker_entry(entry(now + 1000), now)); // clocks differ
    CHECK_FALSE(decode_worker_entry(entry(now + 3'600'000), now));
    CHECK_FALSE(decode_worker_entry(entry(900'000'000'000'000), now));
}

TEST_CASE("a text from outside stays within its field of a log line") {
    CHECK(log_text("i-1") == "i-1");
    CHECK(log_text("") == "\"\"");
    CHECK(log_text("a event=b") == "\"a event=b\"");
    CHECK(log_text("a\nts=1") == "\"a\\x0ats=1\"");
    CHECK(log_text("a\"\\\xff") == "\"a\\\"\\\\\\xff\"");
    CHECK(log_text(std::string(1000, 'x')).size() < 150);
}
