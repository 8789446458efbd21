#include "run_time_writes.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;
using platform::store_status;

namespace {

/** Changed values as a model collects them: each is taken once. */
struct changes {
    std::size_t count = 0;
    std::size_t takes = 0;

    take_changes source() {
        return [this](std::size_t max) {
            ++takes;
            const std::size_t taken = std::min(max, count);
            count -= taken;
            return std::vector<platform::keyed_record>(taken, {"key", std::to_string(takes)});
        };
    }
};

constexpr time_ms interval_ms = 10000;

} // namespace

// Replays a day's load: every class changes all the time.
TEST_CASE("under steady changes, one write of at most 64 records is sent every 10 s") {
    run_time_writes w;
    changes c;
    std::size_t sent = 0;
    for (time_ms now_ms = 1000; now_ms <= 61000; now_ms += 100) {
        c.count = 512;
        if (begin_write(w, now_ms, c.source())) {
            CHECK(w.sequence == ++sent);
            CHECK(w.batch.size() == 64);
            end_write(w, {store_status::ok});
        }
    }
    CHECK(sent == 7);
}

TEST_CASE("without changes nothing is sent, and a later change is sent at once") {
    run_time_writes w;
    changes c;
    CHECK_FALSE(begin_write(w, interval_ms, c.source()));
    c.count = 1;
    CHECK(begin_write(w, interval_ms + 100, c.source()));
}

// With a new sequence number, the store would append a write twice whose answer was lost. A retry
// without delay would add load to a store that is already slow.
TEST_CASE("a failed write is repeated unchanged at the next interval, before newer changes") {
    for (const auto status : {store_status::no_answer, store_status::refused}) {
        run_time_writes w;
        changes c{100};
        REQUIRE(begin_write(w, 0, c.source()));
        CHECK_FALSE(begin_write(w, 3 * interval_ms, c.source())); // the answer is outstanding
        end_write(w, {status});
        CHECK_FALSE(begin_write(w, interval_ms - 1, c.source()));
        REQUIRE(begin_write(w, interval_ms, c.source()));
        CHECK(w.sequence == 1);
        CHECK(w.batch.size() == 64);
        CHECK(c.takes == 1);
        end_write(w, {store_status::ok});
        REQUIRE(begin_write(w, 2 * interval_ms, c.source()));
        CHECK(w.sequence == 2);
        CHECK(w.batch.size() == 36);
    }
}

TEST_CASE("a write out of sequence is repeated under the sequence number that the store expects") {
    run_time_writes w;
    changes c{1};
    REQUIRE(begin_write(w, 0, c.source()));
    platform::append_outcome outcome{store_status::out_of_sequence};
    outcome.expected_sequence = 7;
    end_write(w, outcome);
    REQUIRE(begin_write(w, interval_ms, c.source()));
    CHECK(w.sequence == 7);
    CHECK(w.batch.size() == 1);
}

TEST_CASE("a leader that a later one has fenced writes no more") {
    run_time_writes w;
    changes c{1};
    REQUIRE(begin_write(w, 0, c.source()));
    end_write(w, {store_status::fenced});
    c.count = 1;
    CHECK_FALSE(begin_write(w, 10 * interval_ms, c.source()));
    CHECK(c.takes == 1);
}
