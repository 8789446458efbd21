#include "free_ports.h"
#include "job_loader.h"
#include "scheduler/codec.h"
#include "soak_store.h"
#include "topic_follower.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

constexpr time_ms wait_limit_ms = 5000;
/** Longer than a pause of a follower that polls. */
constexpr time_ms long_pause_ms = 60'000;
constexpr std::size_t document_bytes = 90'000;
/** Larger than the largest answer of the store, 1 MB. */
constexpr int backlog_documents = 40;
constexpr const char* topic_name = "keyed.op";

/** A follower on the stand-in for the platform's store. */
struct follower_fixture {
    event_loop loop;
    soak::soak_store store{loop};
    http_client http{loop};
    std::string address = "127.0.0.1:" + std::to_string(find_free_ports(1));
    platform::store_client client{http, address};
    std::unique_ptr<topic_follower> follower;
    int written = 0;
    /** Number of the last document that was delivered. */
    int delivered = 0;
    /** Boottime at which each document was written; the index is its number. */
    std::vector<time_ms> written_at{0};
    int failed_reads = 0;
    bool confirmed_too_much = false;
    bool delivered_before_written_after = false;

    follower_fixture() { REQUIRE(store.listen(address)); }

    void write(int count) {
        for (int i = 0; i < count; ++i) {
            std::string text = std::to_string(++written);
            text.resize(document_bytes, ' ');
            store.put(topic_name, "config", text);
            written_at.push_back(boottime_now());
        }
    }

    void follow(time_ms wait_ms, time_ms pause_ms) {
        follower_options options;
        options.wait_ms = wait_ms;
        options.pause_ms = pause_ms;
        options.on_record = [this](const auto& record) {
            delivered = std::stoi(record.value);
            if (follower &&
                written_at[static_cast<std::size_t>(delivered)] < follower->written_after_ms()) {
                delivered_before_written_after = true;
            }
        };
        options.on_read = [this](bool ok) { failed_reads += ok ? 0 : 1; };
        follower = std::make_unique<topic_follower>(loop, client, std::move(options));
        REQUIRE(run_until([this] { return follower->loaded() && delivered == written; }));
    }

    /** Runs until `done`, and notes whether a document that wasn't delivered was confirmed. */
    bool run_until(const std::function<bool()>& done, time_ms limit_ms = wait_limit_ms) {
        return loop.run_until(
            [&] {
                confirmed_too_much =
                    confirmed_too_much || (delivered < written &&
                                           follower->confirmed_at_ms() >
                                               written_at[static_cast<std::size_t>(delivered) + 1]);
                return done();
            },
            limit_ms);
    }

    [[nodiscard]] bool caught_up() const { return delivered == written; }

    /** Writes documents while the store doesn't answer, so that they are read together. */
    void write_unread(int count) {
        store.set_mode(soak::store_mode::silent, 0);
        const int failed_before = failed_reads;
        REQUIRE(run_until([&] { return failed_reads > failed_before; }));
        write(count);
        constexpr time_ms later_ms = 100;
        run_until([] { return false; }, later_ms);
        store.set_mode(soak::store_mode::up, 0);
    }
};

} // namespace

// A host that was paused during a series of changes believed an old configuration to be the newest.
TEST_CASE("a read that returns only a part of the records doesn't confirm the others") {
    follower_fixture f;
    f.write(1);
    f.follow(650, 0);
    f.write_unread(backlog_documents);
    REQUIRE(f.run_until([&] { return f.caught_up(); }));
    CHECK_FALSE(f.confirmed_too_much);
    CHECK_FALSE(f.delivered_before_written_after);
    const time_ms caught_up_at = boottime_now();
    CHECK(f.run_until([&] { return f.follower->confirmed_at_ms() >= caught_up_at; }));
}

// A leader that polls the worker registry was a pause behind for each part.
TEST_CASE("a follower that polls reads all parts of a backlog without a pause") {
    follower_fixture f;
    f.write(1);
    f.follow(0, long_pause_ms);
    f.write(backlog_documents);
    f.follower->read_now();
    CHECK(f.run_until([&] { return f.caught_up(); }));
}

// Each read took longer than its timeout and was repeated in full.
TEST_CASE("a backlog is read although the store can't send all of it within a read's timeout") {
    follower_fixture f;
    f.write(1);
    f.follow(650, 0);
    constexpr std::size_t bytes_per_second = 1'200'000;
    f.store.set_read_rate(bytes_per_second);
    f.write_unread(backlog_documents);
    constexpr time_ms backlog_ms =
        backlog_documents * document_bytes * milliseconds_per_second / bytes_per_second;
    CHECK(f.run_until([&] { return f.caught_up(); }, 3 * backlog_ms));
}

TEST_CASE("a record that is larger than a read's limit is read") {
    follower_fixture f;
    f.write(1);
    f.follow(650, 0);
    std::string large = "2";
    constexpr std::size_t record_bytes = 262'000;
    large.resize(record_bytes, ' ');
    ++f.written;
    f.written_at.push_back(boottime_now());
    f.store.put(topic_name, "config", large);
    CHECK(f.run_until([&] { return f.caught_up(); }));
}

// A read of pages ended with an empty one: keys that were still to come counted as deleted.
TEST_CASE("a snapshot doesn't end with an empty page that tells of more") {
    follower_fixture f;
    f.write(1);
    f.store.set_page_items(0);
    f.loop.after(400, [&f] { f.store.set_page_items(1); });
    f.follow(650, 0);
    CHECK(f.failed_reads > 0);
}

namespace {

std::string job_id(int number) {
    constexpr std::size_t id_digits = 16;
    const std::string text = std::to_string(number);
    return std::string(id_digits - text.size(), '0') + text;
}

} // namespace

// A new leader deleted the progress of jobs whose submissions it hadn't read yet.
TEST_CASE("a new leader reads all parts of the submissions before it takes progress for orphaned") {
    constexpr int job_count = 1200;
    follower_fixture f;
    std::optional<loaded_jobs> found;
    decision_log log{"host"};
    job_loader loader({f.loop, f.client, log, std::make_shared<read_limiter>(2),
                       [&](loaded_jobs jobs) { found = std::move(jobs); },
                       [](const scheduler::job_spec&) {}});
    constexpr time_ms initial_read_ms = 200;
    f.loop.run_until([] { return false; }, initial_read_ms);
    f.store.refuse_topic("keyed.submissions");
    scheduler::job_spec spec;
    spec.policy.pool = "pool";
    spec.payload.resize(4000, 'x');
    spec.steps.emplace_back();
    for (int i = 0; i < job_count; ++i) {
        f.store.put("keyed.submissions", job_id(i), scheduler::encode_job_spec(spec));
    }
    f.store.put("keyed.progress", job_id(job_count - 1), "progress");
    f.loop.run_until([] { return false; }, initial_read_ms);
    f.store.refuse_topic("");
    loader.load_progress();
    REQUIRE(f.loop.run_until([&] { return found.has_value(); }, wait_limit_ms));
    CHECK(found->orphaned_progress.empty());
    CHECK(found->jobs.size() == job_count);
}

// Jobs whose stored progress was still to come ran again from their beginning.
TEST_CASE("a new leader reads all progress although a page of it is empty") {
    follower_fixture f;
    scheduler::job_spec spec;
    spec.policy.pool = "pool";
    spec.steps.emplace_back();
    f.store.put("keyed.submissions", job_id(1), scheduler::encode_job_spec(spec));
    f.store.put("keyed.progress", job_id(1), "progress");
    std::optional<loaded_jobs> found;
    decision_log log{"host"};
    job_loader loader({f.loop, f.client, log, std::make_shared<read_limiter>(2),
                       [&](loaded_jobs jobs) { found = std::move(jobs); },
                       [](const scheduler::job_spec&) {}});
    constexpr time_ms submissions_read_ms = 300;
    f.loop.run_until([] { return false; }, submissions_read_ms);
    f.store.set_page_items(0);
    f.loop.after(submissions_read_ms, [&f] { f.store.set_page_items(1); });
    loader.load_progress();
    REQUIRE(f.loop.run_until([&] { return found.has_value(); }, wait_limit_ms));
    REQUIRE(found->jobs.size() == 1);
    CHECK(found->jobs[0].progress == "progress");
}
