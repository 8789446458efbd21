#include "start_batch.h"

#include "base/json.h"
#include "platform/worker_client.h"

#include <array>

namespace fulmarworks::node {

namespace {

using scheduler::order_failure;

constexpr std::string_view accepted_name = "accepted";
constexpr std::string_view payload_missing_name = "payload_missing";

constexpr std::array<std::pair<std::string_view, order_failure>, 8> failure_names = {{
    {"no_answer", order_failure::no_answer},
    {"fenced", order_failure::fenced},
    {"superseded", order_failure::superseded},
    {"expired", order_failure::expired},
    {"no_capacity", order_failure::no_capacity},
    {"other_incarnation", order_failure::other_incarnation},
    {"rejected", order_failure::rejected},
    {"not_sent", order_failure::not_sent},
}};

std::string_view name_of(const start_result& r) {
    if (r.outcome != start_outcome::refused) {
        return r.outcome == start_outcome::accepted ? accepted_name : payload_missing_name;
    }
    for (const auto& [name, failure] : failure_names) {
        if (failure == r.failure) {
            return name;
        }
    }
    return failure_names[0].first;
}

/** An unknown name counts as no answer, because the worker may have executed the order. */
start_result parse_result(std::string_view name) {
    if (name == accepted_name) {
        return {start_outcome::accepted, {}};
    }
    if (name == payload_missing_name) {
        return {start_outcome::payload_missing, {}};
    }
    for (const auto& [known, failure] : failure_names) {
        if (known == name) {
            return {start_outcome::refused, failure};
        }
    }
    return {start_outcome::refused, order_failure::no_answer};
}

error malformed(std::string message) {
    return {error_kind::malformed_data, std::move(message),
            "run the same release on all entry hosts"};
}

json encode_start(const scheduler::send_start& s) {
    return json::array({s.where.id, s.address, platform::format_task_id(s.task), s.run,
                        s.deadline_at_worker_ms, s.checkpoint});
}

scheduler::send_start decode_start(const json& row) {
    scheduler::send_start s;
    s.where.id = row.at(0).get<std::string>();
    s.address = row.at(1).get<std::string>();
    const auto task = platform::parse_task_id(row.at(2).get<std::string>());
    if (!task) {
        // NOLINTNEXTLINE(hicpp-exception-baseclass)
        throw json::other_error::create(501, describe(task.error()), &row);
    }
    s.task = task.value();
    s.run = integer_from_json<std::uint32_t>(row.at(3));
    s.deadline_at_worker_ms = integer_from_json<time_ms>(row.at(4));
    s.checkpoint = row.at(5).get<std::string>();
    return s;
}

} // namespace

std::string encode_start_batch(const start_batch& batch) {
    json starts = json::array();
    for (const auto& s : batch.starts) {
        starts.push_back(encode_start(s));
    }
    return json({{"token", batch.fencing_token},
                 {"receiver", batch.receiver},
                 {"send_until_ms", batch.send_until_ms},
                 {"payloads", batch.payloads},
                 {"starts", std::move(starts)}})
        .dump();
}

result<start_batch> decode_start_batch(std::string_view text) {
    const auto parsed = parse_json(text);
    if (!parsed) {
        return parsed.error();
    }
    try {
        const json& j = parsed.value();
        start_batch batch;
        batch.fencing_token = integer_from_json<std::uint64_t>(j.at("token"));
        batch.receiver = j.value("receiver", std::string());
        batch.send_until_ms =
            j.contains("send_until_ms") ? integer_from_json<time_ms>(j.at("send_until_ms")) : 0;
        for (const auto& [job, payload] : j.at("payloads").items()) {
            batch.payloads[job] = payload.get<std::string>();
        }
        if (j.at("starts").size() > max_starts_per_batch) {
            return malformed("batch of starts: too many starts");
        }
        for (const json& row : j.at("starts")) {
            batch.starts.push_back(decode_start(row));
        }
        return batch;
    } catch (const json::exception& e) {
        return malformed(std::string("batch of starts: ") + e.what());
    }
}

std::string encode_start_results(std::span<const start_result> results,
                                 const clock_reading& clock) {
    json names = json::array();
    for (const auto& r : results) {
        names.push_back(name_of(r));
    }
    return json({{"results", std::move(names)},
                 {"process", clock.process},
                 {"clock_ms", clock.clock_ms}})
        .dump();
}

std::optional<clock_reading> decode_clock(std::string_view text) {
    const auto parsed = parse_json(text);
    if (!parsed) {
        return std::nullopt;
    }
    try {
        const json& j = parsed.value();
        return clock_reading{j.at("process").get<std::string>(),
                             integer_from_json<time_ms>(j.at("clock_ms"))};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

result<std::vector<start_result>> decode_start_results(std::string_view text,
                                                       std::size_t expected) {
    const auto parsed = parse_json(text);
    if (!parsed) {
        return parsed.error();
    }
    try {
        const json& names = parsed.value().at("results");
        if (names.size() != expected) {
            return malformed("results of starts: wrong number of results");
        }
        std::vector<start_result> results;
        for (const json& name : names) {
            results.push_back(parse_result(name.get<std::string>()));
        }
        return results;
    } catch (const json::exception& e) {
        return malformed(std::string("results of starts: ") + e.what());
    }
}

} // namespace fulmarworks::node
