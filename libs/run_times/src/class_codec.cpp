#include "class_codec.h"

#include "base/digest.h"
#include "base/json.h"

#include <algorithm>
#include <cmath>

namespace fulmarworks::run_times {

namespace {

/** Version of the layout: an array of version, level, queue, account, accelerators, age of the last
 * sample in ms, and for durations and ratios each an array that alternates the index and the weight
 * of a bucket. Values of another layout are ignored. */
constexpr int layout_version = 1;
constexpr std::size_t field_count = 8;
/** Weights are stored as integers, which take less space in MessagePack. */
constexpr double stored_weight_unit = 1e-3;
/** Limits the total weight, so that sums stay exact enough; reached by no real rate of runs. */
constexpr double max_bucket_weight = 1e6;
/** Bounds differences of times, which must not overflow. A class this old has no weight. */
constexpr time_ms max_age_ms = 366 * 24 * milliseconds_per_hour;
/** An encoded class takes at most 1500 bytes and its names. */
constexpr std::size_t max_value_bytes = 4096;

json encode_weights(const log_histogram& h, double factor) {
    json list = json::array();
    for (std::size_t i = 0; i < histogram_buckets; ++i) {
        const double weight = std::min(h.weights[i] * factor, max_bucket_weight);
        const auto stored = static_cast<std::uint64_t>(std::llround(weight / stored_weight_unit));
        if (stored > 0) {
            list.push_back(i);
            list.push_back(stored);
        }
    }
    return list;
}

bool decode_weights(const json& list, log_histogram& h) {
    if (!list.is_array() || list.size() % 2 != 0) {
        return false;
    }
    for (std::size_t i = 0; i < list.size(); i += 2) {
        const auto bucket = integer_from_json<std::uint64_t>(list[i]);
        const auto stored = integer_from_json<std::uint64_t>(list[i + 1]);
        const double weight = static_cast<double>(stored) * stored_weight_unit;
        if (bucket >= histogram_buckets || weight > max_bucket_weight || h.weights[bucket] > 0) {
            return false;
        }
        h.weights[bucket] = static_cast<float>(weight);
    }
    return true;
}

bool is_normal(const class_key& k) {
    switch (k.level) {
    case class_level::queue: return k.account.empty() && k.accelerators == 0;
    case class_level::accelerators: return k.account.empty();
    case class_level::account: return true;
    }
    return false;
}

/** Throws json::exception for a value of the wrong type. */
bool decode_fields(const json& fields, time_ms now_ms, class_key& key, class_statistics& c) {
    key.level = static_cast<class_level>(integer_from_json<std::uint8_t>(fields[1]));
    key.queue = fields[2].get<std::string>();
    key.account = fields[3].get<std::string>();
    key.accelerators = integer_from_json<std::uint32_t>(fields[4]);
    const auto age_ms = integer_from_json<time_ms>(fields[5]);
    if (age_ms < 0 || age_ms > max_age_ms || !is_normal(key)) {
        return false;
    }
    c.weighed_at_ms = now_ms;
    c.last_sample_at_ms = now_ms - age_ms;
    return decode_weights(fields[6], c.durations) && decode_weights(fields[7], c.ratios);
}

} // namespace

std::string store_key(const class_key_view& key) {
    // The length of the queue's name separates the names unambiguously.
    std::string identity = std::to_string(static_cast<int>(key.level)) + " " +
                           std::to_string(key.accelerators) + " " +
                           std::to_string(key.queue.size()) + " ";
    identity += key.queue;
    identity += key.account;
    return "class-" + digest(identity);
}

encoded_class encode_class(const class_key& key, const class_statistics& c, time_ms now_ms) {
    const double factor = decay(now_ms - c.weighed_at_ms);
    const json fields = {layout_version,
                         static_cast<int>(key.level),
                         key.queue,
                         key.account,
                         key.accelerators,
                         std::clamp<time_ms>(now_ms - c.last_sample_at_ms, 0, max_age_ms),
                         encode_weights(c.durations, factor),
                         encode_weights(c.ratios, factor)};
    encoded_class encoded{store_key(key), {}};
    json::to_msgpack(fields, nlohmann::detail::output_adapter<char, std::string>(encoded.value));
    return encoded;
}

std::optional<std::pair<class_key, class_statistics>>
decode_class(std::string_view key, std::string_view value, time_ms now_ms) {
    if (value.size() > max_value_bytes) {
        return std::nullopt;
    }
    const auto parsed = parse_msgpack(value);
    if (!parsed) {
        return std::nullopt;
    }
    const json& fields = parsed.value();
    if (!fields.is_array() || fields.size() != field_count || fields[0] != layout_version) {
        return std::nullopt;
    }
    std::pair<class_key, class_statistics> decoded;
    try {
        if (!decode_fields(fields, now_ms, decoded.first, decoded.second) ||
            store_key(decoded.first) != key) {
            return std::nullopt;
        }
    } catch (const json::exception&) {
        return std::nullopt; // a field of the wrong type
    }
    return decoded;
}

} // namespace fulmarworks::run_times
