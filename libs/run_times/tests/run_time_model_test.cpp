#include "base/json.h"
#include "run_times/run_time_model.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <random>

using namespace fulmarworks;
using namespace fulmarworks::run_times;

namespace {

constexpr time_ms minute = milliseconds_per_minute;
const run_class kind{"queue", "account", 4};

/** Adds `count` runs of 1000 ms to `m`. */
void add_runs(run_time_model& m, const run_class& k, int count, time_ms now_ms,
              time_ms duration_ms = 1000) {
    for (int i = 0; i < count; ++i) {
        m.add({k, duration_ms, duration_ms, 1}, now_ms);
    }
}

std::vector<encoded_class> take_all(run_time_model& m, time_ms now_ms) {
    return m.take_changed(1000, now_ms);
}

} // namespace

// 3% of the runs take 7 times longer. Without the tail in the long-run quantile, each of these runs
// would be stopped as stalled.
TEST_CASE("a tail of long runs sets the long-run quantile but not the expectation") {
    std::mt19937 random(1);
    std::lognormal_distribution<double> noise(0, 0.05);
    run_time_model m;
    for (int i = 0; i < 1000; ++i) {
        const double factor = i % 33 == 0 ? 7 : 1;
        m.add({kind, 1000, std::llround(4000 * factor * noise(random)), 1}, 0);
    }
    const prediction p = m.predict(kind, 1000, 0);
    CHECK(p.samples == Approx(1000));
    CHECK(p.expected_ms == Approx(4000).epsilon(0.15));
    CHECK(p.long_run_ms >= 28000);
    CHECK(p.long_run_ms <= 40000);
    CHECK(m.expected_remaining_ms(kind, 1000, 0, 0) == Approx(4700).epsilon(0.15));
    CHECK(m.expected_remaining_ms(kind, 1000, 6000, 0) == Approx(22000).epsilon(0.15));
    CHECK(m.expected_remaining_ms(kind, 1000, 100000, 0) > 0);
}

// One rule for all queues fails: some callers know their run times, the estimates of others are off
// by a log-normal factor with sigma 0.9.
TEST_CASE("the prediction follows good estimates and ignores useless ones") {
    std::mt19937 random(2);
    const run_class good{"good", "a", 1};
    const run_class useless{"useless", "a", 1};
    std::lognormal_distribution<double> wide(std::log(10000.0), 1);
    std::lognormal_distribution<double> narrow(std::log(10000.0), 0.1);
    std::lognormal_distribution<double> small_error(0, 0.2);
    std::lognormal_distribution<double> large_error(0, 0.9);
    run_time_model m;
    for (int i = 0; i < 400; ++i) {
        const double long_or_short = wide(random);
        m.add({good, std::llround(long_or_short),
               std::llround(long_or_short * 2 * small_error(random)), 1},
              0);
        const double steady = narrow(random);
        m.add({useless, std::llround(steady * large_error(random)), std::llround(steady), 1}, 0);
    }
    CHECK(m.predict(good, 1000, 0).expected_ms == Approx(2000).epsilon(0.15));
    CHECK(m.predict(good, 60000, 0).expected_ms == Approx(120000).epsilon(0.15));
    CHECK(m.predict(good, 0, 0).expected_ms > 1000); // no estimate: the durations are used
    for (const time_ms estimate_ms : {1000, 10000, 100000}) {
        CHECK(m.predict(useless, estimate_ms, 0).expected_ms == Approx(10000).epsilon(0.15));
    }
}

TEST_CASE("durations describe a worker of speed 1, and invalid samples are ignored") {
    run_time_model m;
    for (int i = 0; i < 20; ++i) {
        m.add({kind, 0, i % 2 == 0 ? 4000 : 2000, i % 2 == 0 ? 1.0 : 2.0}, 0);
    }
    m.add({kind, 0, -1, 1}, 0);
    m.add({kind, 0, 1000, 0}, 0);
    m.add({kind, 0, 1000, std::nan("")}, 0);
    CHECK(m.samples_added() == 20);
    CHECK(m.predict(kind, 0, 0).expected_ms == Approx(4000).epsilon(0.1));
}

TEST_CASE("a class with little evidence falls back to coarser levels, then to the estimate") {
    run_time_model m;
    const run_class other_account{"queue", "new", 4};
    const run_class other_size{"queue", "new", 8};
    add_runs(m, kind, 7, 0);
    const prediction none = m.predict(kind, 300, 0);
    CHECK(none.expected_ms == 300);
    CHECK(none.long_run_ms == 300);
    CHECK(none.samples == 0);
    CHECK(m.expected_remaining_ms(kind, 300, 200, 0) == 100);
    CHECK(m.expected_remaining_ms(kind, 300, 900, 0) == 0);
    add_runs(m, kind, 1, 0);
    CHECK(m.predict(kind, 0, 0).samples == Approx(8));
    CHECK(m.predict(other_account, 0, 0).samples == Approx(8));
    CHECK(m.predict(other_size, 0, 0).samples == Approx(8));
    CHECK(m.predict({"other", "account", 4}, 300, 0).samples == 0);
    add_runs(m, other_account, 8, 0, 64000);
    CHECK(m.predict(kind, 0, 0).expected_ms == Approx(1000).epsilon(0.1));
    CHECK(m.predict(other_account, 0, 0).expected_ms == Approx(64000).epsilon(0.1));
}

// A deployment whose run times change must not be judged by those of an hour ago.
TEST_CASE("weights halve every 10 minutes, so that newer runs replace older ones") {
    run_time_model m;
    add_runs(m, kind, 32, 0);
    CHECK(m.predict(kind, 0, 10 * minute).samples == Approx(16));
    CHECK(m.predict(kind, 0, 20 * minute).samples == Approx(8));
    CHECK(m.predict(kind, 300, 21 * minute).samples == 0);
    add_runs(m, kind, 32, 60 * minute, 16000);
    CHECK(m.predict(kind, 0, 60 * minute).expected_ms == Approx(16000).epsilon(0.1));
    CHECK(m.predict(kind, 0, 50 * minute).samples == Approx(32.5)); // a clock that went back
}

// Accounts come from callers: without a bound, a thousand of them would fill a small host's memory.
TEST_CASE("at most 512 classes are kept, and the store is told which were removed") {
    run_time_model m;
    add_runs(m, kind, 10, 0);
    const auto oldest = take_all(m, 0);
    for (int i = 0; i < 2000; ++i) {
        m.add({{"queue", "account" + std::to_string(i), 4}, 0, 1000, 1}, 1 + i);
        REQUIRE(m.size() <= 512);
    }
    CHECK(m.size() == 512);
    CHECK(m.predict(kind, 0, 2000).samples > 1900); // its account was evicted, the queue was not
    const auto changed = take_all(m, 2000);
    const auto deleted = std::count_if(changed.begin(), changed.end(),
                                       [](const auto& c) { return c.value.empty(); });
    CHECK(deleted == 1);
    CHECK(std::any_of(oldest.begin(), oldest.end(),
                      [&](const auto& c) { return c.key == changed[0].key; }));
}

TEST_CASE("a class without relevant weight is removed and deleted from the store") {
    run_time_model m;
    add_runs(m, kind, 10, 0);
    CHECK(take_all(m, 0).size() == 3);
    const auto changes = take_all(m, 120 * minute);
    REQUIRE(changes.size() == 3);
    CHECK(changes[0].value.empty());
    CHECK(m.size() == 0);
    CHECK(take_all(m, 120 * minute).empty());
}

// With a fixed order, classes above the limit of a write would never be stored on a busy cluster.
TEST_CASE("changed classes are returned in turns and once for each change") {
    run_time_model m;
    add_runs(m, kind, 1, 0);
    const auto first = m.take_changed(2, 0);
    add_runs(m, kind, 1, 0);
    const auto second = m.take_changed(1, 0);
    REQUIRE(first.size() == 2);
    REQUIRE(second.size() == 1);
    CHECK(second[0].key != first[0].key);
    CHECK(second[0].key != first[1].key);
    CHECK(take_all(m, 0).size() == 2);
    CHECK(take_all(m, 0).empty());
}

TEST_CASE("restored classes predict as before, and their ages are kept") {
    run_time_model m;
    add_runs(m, kind, 100, 0);
    add_runs(m, kind, 4, 0, 7000);
    const prediction before = m.predict(kind, 500, 5 * minute);
    run_time_model restored;
    for (const auto& c : take_all(m, 5 * minute)) {
        CHECK(c.key.size() < 256);
        CHECK(c.key.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
              std::string::npos); // the store's page reads take keys in a URL
        CHECK(restored.restore(c.key, c.value, 1000 * minute));
    }
    const prediction after = restored.predict(kind, 500, 1000 * minute);
    CHECK(after.expected_ms == before.expected_ms);
    CHECK(after.long_run_ms == before.long_run_ms);
    CHECK(after.samples == Approx(before.samples).epsilon(0.01));
    CHECK(take_all(restored, 1000 * minute).empty());
    // Least recently updated at the writer, so evicted before the classes added later.
    for (int i = 0; i < 600; ++i) {
        restored.add({{"other", "account" + std::to_string(i), 1}, 0, 1000, 1}, 999 * minute);
    }
    CHECK(restored.predict(kind, 500, 1000 * minute).samples == 0);
}

// A leader reads the topic while runs already finish, and may read a record that it wrote itself.
TEST_CASE("restoring adds to newer samples and never counts a sample twice") {
    run_time_model writer;
    add_runs(writer, kind, 20, 0);
    const auto stored = take_all(writer, 0);
    run_time_model m;
    add_runs(m, kind, 10, 0);
    for (int i = 0; i < 3; ++i) {
        for (const auto& c : stored) {
            CHECK(m.restore(c.key, c.value, 0));
            CHECK(writer.restore(c.key, c.value, 0));
        }
    }
    CHECK(m.predict(kind, 0, 0).samples == Approx(30));
    CHECK(m.samples_added() == 10);
    CHECK(take_all(m, 0).size() == 3);
    CHECK(writer.predict(kind, 0, 0).samples == Approx(20));
}

TEST_CASE("malformed values and unknown layouts are ignored") {
    run_time_model m;
    add_runs(m, kind, 20, 0);
    const auto stored = take_all(m, 0);
    run_time_model restored;
    const auto with_field = [&](std::size_t field, const json& value) {
        json fields = json::from_msgpack(stored[0].value);
        fields[field] = value;
        const auto bytes = json::to_msgpack(fields);
        return restored.restore(stored[0].key, std::string(bytes.begin(), bytes.end()), 0);
    };
    CHECK_FALSE(with_field(0, 2)); // a later release's layout
    CHECK_FALSE(with_field(1, 4));
    CHECK_FALSE(with_field(2, "another queue")); // doesn't belong to the key
    CHECK_FALSE(with_field(2, 7));
    CHECK_FALSE(with_field(4, -1));
    CHECK_FALSE(with_field(5, -1000));
    CHECK_FALSE(with_field(5, std::numeric_limits<time_ms>::max()));
    CHECK_FALSE(with_field(6, {84, 1000}));
    CHECK_FALSE(with_field(6, {10, 1000, 10, 1000}));
    CHECK_FALSE(with_field(6, {10}));
    CHECK_FALSE(with_field(6, {10, 1e300}));
    CHECK_FALSE(with_field(7, json::object()));
    CHECK_FALSE(restored.restore("class-", stored[0].value, 0));
    CHECK_FALSE(restored.restore(stored[0].key, "", 0));
    CHECK_FALSE(restored.restore(stored[0].key, std::string(1 << 20, '\x91'), 0)); // nested
    std::mt19937 random(3);
    for (int i = 0; i < 3000; ++i) {
        std::string corrupted = stored[0].value;
        corrupted[random() % corrupted.size()] = static_cast<char>(random() & 0xff);
        corrupted.resize(random() % (corrupted.size() + 1));
        (void)restored.restore(stored[0].key, corrupted, 0);
    }
    CHECK(restored.size() <= 1);
    CHECK(restored.restore(stored[0].key, stored[0].value, 0));
}

TEST_CASE("a copy is independent of its source") {
    run_time_model m;
    add_runs(m, kind, 10, 0);
    run_time_model copy = m;
    add_runs(copy, kind, 10, 0);
    CHECK(m.predict(kind, 0, 0).samples == Approx(10));
    m = std::move(copy);
    CHECK(m.predict(kind, 0, 0).samples == Approx(20));
}
