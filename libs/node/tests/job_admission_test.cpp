#include "job_admission.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

constexpr std::size_t limit_bytes = 1'000'000;

/** Submits jobs of one size until one isn't admitted; returns the bytes that were. */
std::size_t fill(job_admission& a, const job_backlog& reported, const std::string& account,
                 std::size_t bytes, time_ms now_ms) {
    std::size_t admitted = 0;
    while (a.decide(reported, account, bytes, now_ms) == admission::admitted) {
        admitted += bytes;
    }
    return admitted;
}

} // namespace

TEST_CASE("a job that could never be admitted is told apart from one that may come again") {
    job_admission a(limit_bytes);
    CHECK(a.decide({}, "x", limit_bytes / 8 + 1, 0) == admission::too_large);
    CHECK(a.decide({}, "x", limit_bytes / 8, 0) == admission::admitted);
    const job_backlog full = {limit_bytes, {{"x", limit_bytes}}};
    CHECK(a.decide(full, "x", 1, 0) == admission::backlog_full);
}

// Replays one client that submits as fast as it can, before the leader has reported anything.
TEST_CASE("an account without others gets half of the memory, and others still get some") {
    job_admission a(limit_bytes);
    CHECK(fill(a, {}, "greedy", 1000, 0) == limit_bytes / 2);
    const std::size_t second = fill(a, {}, "second", 1000, 0);
    CHECK(second == limit_bytes / 4);
    CHECK(fill(a, {}, "third", 1000, 0) == limit_bytes / 8);
    CHECK(a.decide({}, "ordinary", 1000, 0) == admission::admitted);
}

TEST_CASE("what the leader reports counts, and what was admitted counts until it is reported") {
    job_admission a(limit_bytes);
    REQUIRE(fill(a, {}, "greedy", 1000, 0) == limit_bytes / 2);
    const job_backlog reported = {limit_bytes / 2, {{"greedy", limit_bytes / 2}}};
    const time_ms later = job_admission::report_delay_ms + 1;
    CHECK(a.decide(reported, "greedy", 1000, later) == admission::backlog_full);
    CHECK(a.decide(reported, "ordinary", 1000, later) == admission::admitted);
    CHECK(a.decide({}, "greedy", 1000, later) == admission::admitted);
}

TEST_CASE("accounts that aren't listed count like the smallest one that is") {
    scheduler::job_memory memory;
    for (int i = 0; i < 20; ++i) {
        const std::size_t bytes = 10'000 + static_cast<std::size_t>(i) * 1000;
        memory.by_account["a" + std::to_string(i)] = bytes;
        memory.total += bytes;
    }
    const job_backlog reported = make_backlog(memory, 1);
    REQUIRE(reported.largest.size() == max_reported_accounts);
    CHECK(reported.largest.front().name == "a19");
    CHECK(reported.total_bytes == memory.total);
    job_admission a(2 * memory.total);
    CHECK(a.decide(reported, "a0", 1000, 0) == admission::admitted);
    CHECK(make_backlog(memory, memory.total + 1).largest.empty());
}
