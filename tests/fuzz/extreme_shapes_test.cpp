#include "base/json.h"
#include "leadership.h"
#include "node/node_settings.h"
#include "platform/configuration_check.h"
#include "platform/documents.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "scheduler/codec.h"
#include "scheduler/coordinator.h"
#include "start_batch.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;

namespace {

constexpr std::size_t depth = 100'000;
/** The record limit of the platform's store. */
constexpr std::size_t record_bytes = 262'144;
constexpr std::size_t longest_error_bytes = 2048;
constexpr const char* placeholder = "@@@@";

std::string repeat(std::string_view text, std::size_t count) {
    std::string all;
    for (std::size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

/** Texts that replace a value of a document; some of them are no JSON. */
const std::vector<std::string>& extreme_texts() {
    static const std::vector<std::string> texts{
        repeat("[", depth),
        repeat("[", depth) + repeat("]", depth),
        repeat(R"({"a":)", depth) + "1" + repeat("}", depth),
        repeat("[", 20) + repeat("]", 20),
        "1e400",
        "-1e400",
        "1e308",
        "18446744073709551616",
        "18446744073709551615",
        "18446744073709551615.0",
        "9223372036854775808",
        "9223372036854775807.0",
        "-9223372036854775808",
        "-9223372036854775809",
        "4294967296",
        "-0.5",
        "NaN",
        "Infinity",
        "\"" + std::string(record_bytes, 'x') + "\"",
        "\"\xff\xc0\x80\"",
        R"("a\u0000\n\r\"b")",
        "[" + repeat("\"a\",", 10'000) + "\"a\"]",
    };
    return texts;
}

/** Returns the bytes of MessagePack values that no encoder of ours writes. */
const std::vector<std::string>& extreme_values() {
    using namespace std::string_literals;
    static const std::vector<std::string> values{
        repeat("\x91", record_bytes),
        repeat("\x91", record_bytes / 2) + "\x01",
        repeat("\x81\xa1"s + "a", record_bytes / 3),
        "\xdd\xff\xff\xff\xff"s,                     // array of 2^32 - 1 elements
        "\xdf\xff\xff\xff\xff"s,                     // map of 2^32 - 1 members
        "\xdb\xff\xff\xff\xff"s,                     // text of 2^32 - 1 bytes
        "\xc6\xff\xff\xff\xff"s,                     // binary of 2^32 - 1 bytes
        "\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00"s,     // NaN
        "\xcb\x7f\xf0\x00\x00\x00\x00\x00\x00"s,     // infinity
        "\xcb\x43\xe0\x00\x00\x00\x00\x00\x00"s,     // 2^63
        "\xcf\xff\xff\xff\xff\xff\xff\xff\xff"s,     // 2^64 - 1
        "\xd3\x80\x00\x00\x00\x00\x00\x00\x00"s,     // -2^63
        "\xa3\xff\xc0\x80"s,                         // a text that is no UTF-8
        "\xdc\xff\xff"s + std::string(65'535, '\1'), // array of 65535 times 1
        "\xc1"s,
    };
    return values;
}

/** Calls `visit` for each variant of a document in which one value is a placeholder. */
template <class Visit>
void for_each_place(const json& document, const json::json_pointer& at, const Visit& visit) {
    json copy = document;
    copy[at] = placeholder;
    visit(copy);
    const json& value = document.at(at);
    if (value.is_object()) {
        for (const auto& [name, member] : value.items()) {
            for_each_place(document, at / name, visit);
        }
    } else if (value.is_array()) {
        for (std::size_t i = 0; i < value.size(); ++i) {
            for_each_place(document, at / i, visit);
        }
    }
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

template <class Check>
void for_each_text(const json& document, const Check& check) {
    for_each_place(document, json::json_pointer(), [&](const json& variant) {
        for (const auto& text : extreme_texts()) {
            check(replaced(variant.dump(), std::string("\"") + placeholder + "\"", text));
        }
    });
}

template <class Check>
void for_each_record(const std::string& record, const Check& check) {
    for_each_place(json::from_msgpack(record), json::json_pointer(), [&](const json& variant) {
        const auto bytes = json::to_msgpack(variant);
        const std::string text(bytes.begin(), bytes.end());
        for (const auto& value : extreme_values()) {
            check(replaced(text, std::string("\xa4") + placeholder, value));
        }
    });
}

template <class T>
void check_error(const result<T>& decoded) {
    if (!decoded) {
        CHECK(describe(decoded.error()).size() < longest_error_bytes);
    }
}

const json worker_entry = json::parse(R"({"service":"pool","address":"10.128.0.9:8080",
  "zone":"z","state":"ready","remainingMs":500,"born":17,
  "capacity":{"cpu":128000,"memMb":262144,"gpu":8},"labels":["a","r1-3"],"clockMs":482113})");

const json submission = json::parse(R"({"spec":"text","steps":[
  {"count":4,"cpu":500,"memMb":256,"estimateMs":900,"dataRack":"r1-3"},
  {"count":8,"cpu":2000,"memMb":1024,"gpu":1,"estimateMs":7000,"dependsOn":[0],"gang":true}],
  "repeatCount":3,"startAtMs":1000,"intervalMs":500})");

scheduler::job_spec valid_job() {
    auto spec = platform::decode_submission(submission.dump()).value();
    spec.id = "00000000000000aa";
    spec.policy = {"pool", 0, 4, 1.5, 250};
    return spec;
}

} // namespace

TEST_CASE("documents with extreme values are decoded or rejected with a short error") {
    for_each_text(worker_entry, [](const std::string& text) {
        check_error(platform::decode_worker_report("w", text));
    });
    for_each_text(submission, [](const std::string& text) {
        const auto decoded = platform::decode_submission(text);
        check_error(decoded);
        if (decoded) {
            CHECK(scheduler::decode_job_spec(encode_job_spec(decoded.value())));
        }
    });
    const json status = json::parse(R"({"clockMs":482113,"born":17,
        "running":[["job.0.0.1",1,"00ff",41]],"finished":[[1,"job.0.0.2",1,"done",""]]})");
    for_each_text(
        status, [](const std::string& text) { check_error(platform::decode_worker_status(text)); });
    const json configuration = json::parse(R"({"version":7,"routes":[
        {"name":"r-1","host":"a.example","pathPrefix":"/b/","priority":0,"service":"pool",
         "targetLatencyMs":250,"maxAttempts":4,"slackFactor":1.5,"public":false}],
        "limits":{"maxBodyBytes":1000},
        "tenants":[{"name":"account","apiKeys":["k1"],"guaranteed":{"gpu":72}}]})");
    for_each_text(configuration, [](const std::string& text) {
        check_error(platform::decode_configuration(text));
        (void)platform::read_configuration_document(text);
    });
}

TEST_CASE("records of hosts with extreme values are decoded or rejected with a short error") {
    const json lease = json::parse(node::encode_lease({"e1", "10.0.0.1:1", 5, 0, 1, false, 700}));
    for_each_text(lease, [](const std::string& text) { check_error(node::decode_lease(text)); });
    const json batch = json::parse(R"({"token":7,"payloads":{"job":"text"},
        "starts":[["w","10.0.0.1:1","job.0.0.1",1,5000,""]]})");
    for_each_text(batch,
                  [](const std::string& text) { check_error(node::decode_start_batch(text)); });
    for_each_text(json::parse(R"({"results":["accepted"]})"), [](const std::string& text) {
        check_error(node::decode_start_results(text, 1));
    });
    const json page = json::parse(
        R"({"items":[{"key":"a","value":"aGVsbG8=","offset":4}],"hasMore":true,"end":9})");
    for_each_text(page, [](const std::string& text) { (void)platform::decode_newest(text); });
}

TEST_CASE("settings with extreme values are decoded or rejected") {
    const json settings = {{"name", "e1"},
                           {"failure_domain", "z"},
                           {"ip", "10.0.0.1"},
                           {"caller_address", "10.0.0.1:1"},
                           {"readiness_address", "10.0.0.1:2"},
                           {"internal_port", 3},
                           {"store_address", "10.0.0.2:1"},
                           {"cpu_share", 0.25},
                           {"stop_grace_s", 6},
                           {"configuration_bound_ms", 3000}};
    for_each_text(settings, [](const std::string& text) { (void)node::parse_node_settings(text); });
    for (const char* share : {".inf", "-.inf", ".nan", "1e400"}) {
        json changed = settings;
        changed["cpu_share"] = placeholder;
        const auto quoted = std::string("\"") + placeholder + "\"";
        CHECK_FALSE(node::parse_node_settings(replaced(changed.dump(), quoted, share)));
    }
}

// A stored record is decoded by recursion, so one that is nested deeply would overflow the stack.
TEST_CASE("stored records with extreme values are decoded or rejected, and can be sent on") {
    for_each_record(encode_job_spec(valid_job()), [](const std::string& record) {
        const auto spec = scheduler::decode_job_spec(record);
        check_error(spec);
        if (spec) {
            CHECK(find_violation(spec.value()).empty());
            // Throws for a text that isn't UTF-8, as the start of a task would.
            CHECK_FALSE(json({spec.value().payload, spec.value().queue}).dump().empty());
        }
    });
    scheduler::job known;
    known.spec = valid_job();
    known.occurrences.push_back(make_occurrence(known.spec, 0));
    auto& placed = known.occurrences[0].steps[0].tasks[0];
    placed.phase = scheduler::task_phase::running;
    placed.run = 1;
    placed.where = {"w", 17};
    placed.checkpoint = "00ff";
    for_each_record(encode_progress(known), [&](const std::string& record) {
        scheduler::job restored;
        restored.spec = known.spec;
        check_error(scheduler::decode_progress(record, restored));
        CHECK(restored.occurrences.size() <= restored.spec.repeat_count);
        for (const auto& o : restored.occurrences) {
            const auto& t = o.steps[0].tasks[0];
            CHECK_FALSE(json({t.checkpoint, t.where.id}).dump().empty());
        }
    });
}

TEST_CASE("learned run times with extreme values are restored or rejected") {
    run_times::run_time_model m;
    m.add({{"queue", "account", 4}, 1000, 500, 1}, 0);
    for (const auto& record : m.take_changed(1, 0)) {
        for_each_record(record.value, [&](const std::string& value) {
            run_times::run_time_model restored;
            (void)restored.restore(record.key, value, 0);
        });
    }
}
