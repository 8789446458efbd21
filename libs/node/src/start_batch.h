#pragma once

#include "base/error.h"
#include "scheduler/effect.h"
#include "scheduler/event.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks::node {

/** Path of the call by which the leader lets another entry host send starts to workers. */
inline constexpr std::string_view start_batch_path = "/v1/relay/starts";
/** Most starts in one batch; a receiver rejects larger ones. */
inline constexpr std::size_t max_starts_per_batch = 256;

/** Reading of a process's boottime clock. */
struct clock_reading {
    /** Identifies one life of the process, as the clock of another life may start anew. */
    std::string process;
    time_ms clock_ms = 0;
};

/** Starts that a host sends to workers on behalf of the leader. */
struct start_batch {
    std::uint64_t fencing_token = 0;
    /** Process to which the batch is addressed; empty if the sender doesn't know it. */
    std::string receiver;
    /** Time on the receiver's clock after which it sends no start of the batch. Not the time for
     * which a start is valid at its worker: a worker that started again has a clock of its own. */
    time_ms send_until_ms = 0;
    /** Payloads by job that the receiver may not have. */
    std::map<std::string, std::string> payloads;
    /** Orders without payloads. */
    std::vector<scheduler::send_start> starts;
};

enum class start_outcome {
    accepted,
    refused,         // refused by the worker, or without an answer; `failure` says how
    payload_missing, // not sent, as the host doesn't have the job's payload
};

struct start_result {
    start_outcome outcome = start_outcome::payload_missing;
    /** Valid if `outcome` is `refused`. */
    scheduler::order_failure failure = scheduler::order_failure::no_answer;
};

[[nodiscard]] std::string encode_start_batch(const start_batch& batch);
[[nodiscard]] result<start_batch> decode_start_batch(std::string_view text);

/** Encodes the results of a batch in the order of its starts, and the receiver's clock. */
[[nodiscard]] std::string encode_start_results(std::span<const start_result> results,
                                               const clock_reading& clock);
/** An answer with another number of results than `expected` is an error. */
[[nodiscard]] result<std::vector<start_result>> decode_start_results(std::string_view text,
                                                                     std::size_t expected);
/** Returns the receiver's clock from the results of a batch; nothing if they have none. */
[[nodiscard]] std::optional<clock_reading> decode_clock(std::string_view text);

} // namespace fulmarworks::node
