#include "free_ports.h"
#include "run_time_store.h"
#include "soak_store.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

constexpr time_ms wait_limit_ms = 5000;
/** Longer than the delay of the first read. */
constexpr time_ms several_attempts_ms = 2500;
constexpr const char* topic_name = "keyed.run-times";
const run_times::run_class kind{"queue", "account", 4};

void add_runs(run_times::run_time_model& m, int count) {
    for (int i = 0; i < count; ++i) {
        m.add({kind, 0, 1000, 1}, boottime_now());
    }
}

/** The learned run times of one leader, on the stand-in for the platform's store. */
struct store_fixture {
    event_loop loop;
    soak::soak_store store{loop};
    http_client http{loop};
    std::string address = "127.0.0.1:" + std::to_string(find_free_ports(1));
    platform::store_client client{http, address};
    decision_log log{"host"};
    metrics counters;
    run_times::run_time_model model;
    std::unique_ptr<run_time_store> stored;

    store_fixture() { REQUIRE(store.listen(address)); }

    void start(std::uint64_t epoch) {
        stored = std::make_unique<run_time_store>(
            run_time_store_context{loop, client, log, counters, epoch, model});
    }

    [[nodiscard]] double samples() const { return model.predict(kind, 0, boottime_now()).samples; }
};

/** Returns the records that an earlier leader with 20 runs has stored. */
std::vector<run_times::encoded_class> earlier_records() {
    run_times::run_time_model m;
    add_runs(m, 20);
    return m.take_changed(10, boottime_now());
}

} // namespace

TEST_CASE("stored run times are restored and malformed ones ignored, then changes are written") {
    store_fixture f;
    const auto records = earlier_records();
    f.store.put(topic_name, "a-malformed-record", "?");
    for (const auto& r : records) {
        f.store.put(topic_name, r.key, r.value);
    }
    add_runs(f.model, 10); // ended before the topic is read
    f.start(1);
    const auto all_written = [&] {
        return std::all_of(records.begin(), records.end(), [&](const auto& r) {
            return f.store.newest_of(topic_name, r.key) != r.value;
        });
    };
    REQUIRE(f.loop.run_until(all_written, wait_limit_ms));
    CHECK(f.samples() == Approx(30).epsilon(0.01));
    run_times::run_time_model next;
    for (const auto& r : records) {
        CHECK(next.restore(r.key, *f.store.newest_of(topic_name, r.key), boottime_now()));
    }
    CHECK(next.predict(kind, 0, boottime_now()).samples == Approx(30).epsilon(0.01));
    CHECK(f.counters.serialize().find("fulmarworks_run_time_classes 3") != std::string::npos);
}

// An earlier leader that was suspended would replace the values of the present one.
TEST_CASE("the store refuses the run times of an earlier leader") {
    store_fixture f;
    platform::append_request request;
    request.log_topic = platform::topic::run_times;
    request.writer = platform::writer_position{5, 1};
    bool fenced = false;
    f.client.append(request, [&](const auto&) { fenced = true; });
    REQUIRE(f.loop.run_until([&] { return fenced; }, wait_limit_ms));
    add_runs(f.model, 10);
    f.start(4);
    f.loop.run_until([] { return false; }, several_attempts_ms);
    for (const auto& r : earlier_records()) {
        CHECK_FALSE(f.store.newest_of(topic_name, r.key).has_value());
    }
}

// Submissions take another path while the store counts as unavailable. A store without the topic
// must not cause this.
TEST_CASE(
    "refused reads of run times don't make the store count as unavailable, and are repeated") {
    store_fixture f;
    for (const auto& r : earlier_records()) {
        f.store.put(topic_name, r.key, r.value);
    }
    f.store.refuse_topic(topic_name);
    add_runs(f.model, 10);
    f.start(1);
    bool unavailable = false;
    f.loop.run_until(
        [&] {
            unavailable = unavailable || f.client.unavailable();
            return false;
        },
        several_attempts_ms);
    CHECK_FALSE(unavailable);
    CHECK(f.client.calls_sent() >= 2);
    CHECK(f.samples() == Approx(10).epsilon(0.01));
    f.store.refuse_topic("");
    CHECK(f.loop.run_until([&] { return f.samples() > 29; }, wait_limit_ms));
}
