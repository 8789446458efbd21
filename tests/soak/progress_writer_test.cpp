#include "free_ports.h"
#include "progress_writer.h"
#include "soak_store.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;

// Guards against a leader that never stores anything again: the store refused a batch as too large,
// and the leader repeated it for ever, as did each one after it.
TEST_CASE("a batch of progress that is larger than one append is stored") {
    constexpr time_ms wait_limit_ms = 5000;
    constexpr int records = 20;
    constexpr std::size_t record_bytes = 200'000;
    event_loop loop;
    soak::soak_store store{loop};
    http_client http{loop};
    const std::string address = "127.0.0.1:" + std::to_string(find_free_ports(1));
    REQUIRE(store.listen(address));
    platform::store_client client{http, address};
    decision_log log{"host"};
    metrics counters;
    bool fenced = false;
    int stored = 0;
    progress_writer writer({loop, client, log, counters, 1, [&] { fenced = true; },
                            [&] { ++stored; }, [] { FAIL("deposed"); }});
    REQUIRE(loop.run_until([&] { return fenced; }, wait_limit_ms));
    for (int round = 1; round <= 2; ++round) {
        std::vector<platform::keyed_record> batch;
        for (int i = 0; i < records; ++i) {
            batch.push_back({"job" + std::to_string(i),
                             std::string(record_bytes, static_cast<char>('0' + round))});
        }
        writer.write(std::move(batch));
        REQUIRE(loop.run_until([&] { return stored == round; }, wait_limit_ms));
        for (int i = 0; i < records; ++i) {
            const auto found = store.newest_of("keyed.progress", "job" + std::to_string(i));
            REQUIRE(found);
            CHECK(found->front() == '0' + round);
        }
    }
    CHECK(stored == 2);
}
