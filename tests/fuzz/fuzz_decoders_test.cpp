#include "config_check/check.h"
#include "json_mutator.h"
#include "leadership.h"
#include "node/node_settings.h"
#include "platform/configuration_check.h"
#include "platform/documents.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "scheduler/codec.h"
#include "scheduler/coordinator.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::fuzz;

namespace {

constexpr int documents_per_seed = 500;

const json configuration = json::parse(R"({"version":7,"routes":[
  {"name":"r-1","host":"a.example","pathPrefix":"/b/","priority":0,"service":"pool",
   "targetLatencyMs":250,"maxAttempts":4,"slackFactor":1.5,"public":false}],
  "limits":{"maxBodyBytes":1000},
  "tenants":[{"name":"account","apiKeys":["k1","k2"],"guaranteed":{"gpu":72}}]})");

const json worker_entry = json::parse(R"({"service":"pool","address":"10.128.0.9:8080",
  "zone":"z","state":"draining","remainingMs":500,"born":17,
  "capacity":{"cpu":128000,"memMb":262144,"gpu":8},"labels":["a","r1-3"],"clockMs":482113})");

const json submission = json::parse(R"({"spec":"text","steps":[
  {"count":4,"cpu":500,"memMb":256,"estimateMs":900,"dataRack":"r1-3"},
  {"count":8,"cpu":2000,"memMb":1024,"gpu":1,"estimateMs":7000,"dependsOn":[0],"gang":true,
   "checkpointing":true,"sameRack":true,"antiAffinity":2,"requiredLabel":"a"}],
  "repeatCount":3,"startAtMs":1000,"intervalMs":500})");

const json worker_status = json::parse(R"({"clockMs":482113,"born":17,
  "running":[["job.0.0.1",1,"00ff",41]],"finished":[[1,"job.0.0.2",1,"done",""]]})");

const json newest_page =
    json::parse(R"({"items":[{"key":"a","value":"aGVsbG8=","offset":4}],"hasMore":true,"end":9})");

/** Calls `check` with mutated and corrupted variants of a document's text. */
template <class Check>
void fuzz_text(const json& document, const Check& check) {
    for (unsigned seed = 1; seed <= 3; ++seed) {
        json_mutator mutator(seed);
        for (int i = 0; i < documents_per_seed; ++i) {
            std::string text = mutator.mutate(document).dump();
            check(mutator.chance(30) ? mutator.corrupt(std::move(text)) : text);
        }
    }
}

std::string encode_msgpack(const json& j) {
    const auto bytes = json::to_msgpack(j);
    return {bytes.begin(), bytes.end()};
}

/** Calls `check` with mutated and corrupted variants of a MessagePack record. */
template <class Check>
void fuzz_record(const std::string& record, const Check& check) {
    const json fields = json::from_msgpack(record);
    for (unsigned seed = 1; seed <= 3; ++seed) {
        json_mutator mutator(seed);
        for (int i = 0; i < documents_per_seed; ++i) {
            check(mutator.chance(50) ? mutator.corrupt(record)
                                     : encode_msgpack(mutator.mutate(fields)));
        }
    }
}

scheduler::job_spec valid_job() {
    auto spec = platform::decode_submission(submission.dump()).value();
    spec.id = "job";
    spec.account = "account";
    spec.queue = "r-1";
    spec.policy = {"pool", 0, 4, 1.5, 250};
    return spec;
}

/** A coordinator that has received the entry and the status of one worker. */
struct single_worker_cluster {
    scheduler::coordinator_state state;
    scheduler::effects out;
    scheduler::instant now{500'000, 1'700'000'000'000};

    single_worker_cluster() {
        json entry = worker_entry;
        entry["state"] = "ready";
        send(scheduler::worker_reported{platform::decode_worker_report("w", entry.dump()).value()});
        send(scheduler::tick{});
        send_status(platform::decode_worker_status(worker_status.dump()).value());
    }

    void send(scheduler::registry_change change) {
        send(scheduler::workers_reported{{std::move(change)}, false, now.monotonic_ms});
    }

    void send(const scheduler::event& e) {
        reduce(state, now, e, out);
        while (state.batch_open) {
            reduce(state, now, scheduler::records_stored{}, out);
        }
        out.clear();
    }

    void send_status(scheduler::worker_status status) {
        send(scheduler::poll_answered{"w", now.monotonic_ms, std::move(status)});
    }

    void advance_time() {
        for (int i = 0; i < 3; ++i) {
            now.monotonic_ms += 200;
            now.wall_ms += 200;
            send(scheduler::tick{});
        }
    }
};

} // namespace

TEST_CASE("a decoded submission can be scheduled, stored and read back") {
    std::size_t accepted = 0;
    fuzz_text(submission, [&](const std::string& text) {
        auto decoded = platform::decode_submission(text);
        if (!decoded) {
            return;
        }
        ++accepted;
        scheduler::job_spec spec = std::move(decoded.value());
        REQUIRE(find_violation(spec).empty());
        const std::string record = encode_job_spec(spec);
        const auto read_back = scheduler::decode_job_spec(record);
        REQUIRE(read_back);
        REQUIRE(encode_job_spec(read_back.value()) == record);
        spec.id = "job";
        spec.policy = {"pool", 0, 4, 1.5, 250};
        single_worker_cluster cluster;
        cluster.send(scheduler::job_submitted{spec});
        cluster.advance_time();
        scheduler::job restored;
        restored.spec = spec;
        REQUIRE(
            scheduler::decode_progress(encode_progress(*cluster.state.jobs.at("job")), restored));
    });
    CHECK(accepted > 100);
}

TEST_CASE("the coordinator handles every worker entry and status that can be decoded") {
    single_worker_cluster cluster;
    cluster.send(scheduler::job_submitted{valid_job()});
    fuzz_text(worker_entry, [&](const std::string& text) {
        if (auto report = platform::decode_worker_report("w", text)) {
            cluster.send(scheduler::worker_reported{std::move(report.value())});
            cluster.advance_time();
        }
    });
    fuzz_text(worker_status, [&](const std::string& text) {
        if (auto status = platform::decode_worker_status(text)) {
            cluster.send_status(std::move(status.value()));
            cluster.advance_time();
        }
    });
    CHECK(cluster.state.jobs.contains("job"));
}

TEST_CASE("corrupted stored records are decoded or rejected") {
    fuzz_record(encode_job_spec(valid_job()), [](const std::string& record) {
        if (const auto spec = scheduler::decode_job_spec(record)) {
            REQUIRE(find_violation(spec.value()).empty());
        }
    });
    scheduler::job known;
    known.spec = valid_job();
    known.occurrences.push_back(make_occurrence(known.spec, 0));
    auto& placed = known.occurrences[0].steps[0].tasks[0];
    placed.phase = scheduler::task_phase::running;
    placed.run = 1;
    placed.where = {"w", 17};
    fuzz_record(encode_progress(known), [&](const std::string& record) {
        scheduler::job restored;
        restored.spec = known.spec;
        (void)scheduler::decode_progress(record, restored);
    });
}

// Guards against a check that passes a document that entry hosts refuse, or the reverse.
TEST_CASE("the check of a configuration reports errors of form exactly if entry hosts refuse it") {
    const auto in_force = platform::read_configuration_document(configuration.dump());
    std::size_t accepted = 0;
    fuzz_text(configuration, [&](const std::string& text) {
        const auto reading = platform::read_configuration_document(text);
        const bool has_errors =
            std::any_of(reading.form.begin(), reading.form.end(), [](const auto& f) {
                return f.level == config_check::severity::error &&
                       f.kind != config_check::finding_kind::duplicate_member;
            });
        const bool is_accepted = static_cast<bool>(platform::decode_configuration(text));
        INFO(text);
        REQUIRE(has_errors != is_accepted);
        accepted += is_accepted ? 1 : 0;
        for (const auto& f : merge(reading.form, check(reading.document, {8, 4000}))) {
            REQUIRE_FALSE(platform::describe(f).problem.empty());
        }
        for (const auto& c : compare(in_force.document, reading.document).changes) {
            REQUIRE_FALSE(platform::describe(c).empty());
        }
    });
    CHECK(accepted > 100);
}

TEST_CASE("configurations, pages of the store, leases and settings are decoded or rejected") {
    fuzz_text(configuration,
              [](const std::string& text) { (void)platform::decode_configuration(text); });
    fuzz_text(newest_page, [](const std::string& text) { (void)platform::decode_newest(text); });
    const std::vector<platform::keyed_record> records = {{"k1", "value"}, {"k2", "other"}};
    const std::string log = std::string(16, '\0') + platform::encode_records(records);
    json_mutator mutator(1);
    for (int i = 0; i < documents_per_seed; ++i) {
        (void)platform::decode_read(mutator.corrupt(log), 0);
    }
    fuzz_text(json::parse(node::encode_lease({"e1", "10.0.0.1:1", 5, 0, 1, false, 700})),
              [](const std::string& text) { (void)node::decode_lease(text); });
    const json settings = {{"name", "e1"},
                           {"failure_domain", "z"},
                           {"ip", "10.0.0.1"},
                           {"caller_address", "10.0.0.1:1"},
                           {"readiness_address", "10.0.0.1:2"},
                           {"internal_port", 3},
                           {"store_address", "10.0.0.2:1"},
                           {"cpu_share", 0.25},
                           {"stop_grace_s", 6},
                           {"configuration_bound_ms", 3000},
                           {"learned_run_times", false}};
    fuzz_text(settings, [](const std::string& text) { (void)node::parse_node_settings(text); });
}

TEST_CASE("damaged run times are rejected, or are restored into a model that can be used") {
    const run_times::run_class kind{"queue", "account", 4};
    run_times::run_time_model m;
    for (int i = 1; i <= 20; ++i) {
        m.add({kind, 1000, 500 * i, 1}, 0);
    }
    for (const auto& record : m.take_changed(3, 0)) {
        fuzz_record(record.value, [&](const std::string& value) {
            run_times::run_time_model restored;
            if (restored.restore(record.key, value, 0)) {
                const auto p = restored.predict(kind, 1000, 0);
                CHECK(p.expected_ms <= p.long_run_ms);
                CHECK(restored.expected_remaining_ms(kind, 1000, 5000, 0) >= 0);
                restored.add({kind, 1000, 500, 1}, 1);
                CHECK(restored.take_changed(3, 1).size() == 3);
            }
        });
    }
}
