#include "coordinator_fixture.h"

#include <catch2/catch.hpp>

using namespace fulmarworks::scheduler;

namespace {

/** A complete read of a registry that has entries of these workers only. */
workers_reported complete_read(coordinator_fixture& f, const std::vector<std::string>& ids) {
    workers_reported read;
    read.complete = true;
    read.confirmed_at_ms = f.now.monotonic_ms;
    for (const auto& id : ids) {
        read.changes.emplace_back(worker_reported{f.make_report(id)});
    }
    return read;
}

} // namespace

// The registry may delete its history, so that a deletion is never read.
TEST_CASE("a worker that a complete read of the registry doesn't name gets no tasks") {
    coordinator_fixture f;
    f.add_worker("w1");
    f.add_worker("w2");
    f.send(complete_read(f, {"w2"}));
    const auto order = f.run_job(f.make_job("a", 1, {1000, 1000, 1}));
    REQUIRE(order);
    CHECK(order->where.id == "w2");
}

TEST_CASE("the changes of one read of the registry take effect in their order") {
    coordinator_fixture f;
    f.add_worker("w1");
    auto draining = f.make_report("w1");
    draining.draining = true;
    workers_reported read;
    read.changes = {worker_unlisted{"w1", true}, worker_reported{f.make_report("w1")},
                    worker_reported{draining}};
    f.send(read);
    CHECK_FALSE(f.run_job(f.make_job("a", 1, {1000, 1000, 1})));
    f.send(worker_reported{f.make_report("w1")});
    CHECK(f.take<send_start>());
}
