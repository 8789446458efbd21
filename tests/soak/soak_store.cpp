#include "soak_store.h"

#include "base/time.h"

#include <algorithm>

namespace fulmarworks::soak {

namespace {

constexpr time_ms waiting_read_interval_ms = 10;
constexpr std::size_t max_page_bytes = 1U << 20U;
constexpr std::int64_t default_read_kb = 1024;
constexpr std::size_t bytes_per_kb = 1024;
constexpr std::size_t max_kept_answers = 5;
constexpr std::uint64_t max_body_bytes = 4U << 20U;
constexpr std::size_t max_append_bytes = 2U << 20U;
constexpr std::size_t max_record_bytes = 256U << 10U;

// Doesn't use the encoding of platform/, because an error there would cancel out.

std::string encode_base64(std::string_view bytes) {
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            const bool in_range = i + k < bytes.size();
            group = group << 8U | (in_range ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return text;
}

std::string big_endian(std::uint64_t value, std::size_t bytes) {
    std::string text;
    for (std::size_t i = bytes; i-- > 0;) {
        text.push_back(static_cast<char>(value >> (8 * i) & 0xffU));
    }
    return text;
}

std::uint64_t read_big_endian(std::string_view bytes) {
    std::uint64_t value = 0;
    for (const char c : bytes) {
        value = value << 8U | static_cast<unsigned char>(c);
    }
    return value;
}

/** Returns whether the store takes the records of an append. */
bool has_valid_sizes(std::string_view body) {
    constexpr std::size_t length_bytes = 4;
    const bool valid = body.size() <= max_append_bytes;
    while (valid && body.size() > length_bytes) {
        const std::uint64_t length = read_big_endian(body.substr(0, length_bytes));
        if (length > max_record_bytes) {
            return false;
        }
        body.remove_prefix(std::min<std::size_t>(body.size(), length_bytes + length));
    }
    return valid;
}

/** Returns the name under which a partition is kept: the topic for partition 0. */
std::string log_name(std::string_view query) {
    const std::string topic = query_value(query, "topic");
    const std::string partition = query_value(query, "part");
    return partition.empty() || partition == "0" ? topic : topic + "/" + partition;
}

http_response reply(int status, const json& body) {
    http_response response;
    response.status = status;
    // A key that isn't UTF-8 has no exact form in JSON.
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

} // namespace

soak_store::soak_store(event_loop& loop) : loop_(loop) {}

result<bool> soak_store::listen(const std::string& address) {
    auto server = http_server::Builder()
                      .address(address)
                      .max_body_bytes(max_body_bytes)
                      .idle_timeout_ms(60 * milliseconds_per_second)
                      .on_request([this](const http_request& r, std::uint64_t t) { handle(r, t); })
                      .on_gone([this](std::uint64_t token) { waiting_reads_.erase(token); })
                      .build(loop_);
    if (!server) {
        return server.error();
    }
    server_ = std::move(server.value());
    loop_.every(waiting_read_interval_ms, [this] { answer_waiting_reads(); });
    return true;
}

void soak_store::put(const std::string& topic, const std::string& key, const std::string& value) {
    add(topics_[topic], key, value);
}

void soak_store::set_mode(store_mode mode, time_ms delay_ms) {
    mode_ = mode;
    delay_ms_ = delay_ms;
}

std::optional<std::string> soak_store::newest_of(const std::string& topic,
                                                 const std::string& key) const {
    const auto found = topics_.find(topic);
    if (found == topics_.end() || !found->second.newest.contains(key)) {
        return std::nullopt;
    }
    return found->second.records[found->second.newest.at(key)].value;
}

void soak_store::trim_history() {
    for (auto& [name, topic] : topics_) {
        topic.first_retained = topic.records.size();
    }
}

void soak_store::add(topic_state& topic, std::string key, std::string value) {
    if (value.empty()) {
        topic.newest.erase(key);
    } else {
        topic.newest[key] = topic.records.size();
    }
    topic.records.push_back({std::move(key), std::move(value)});
}

void soak_store::handle(const http_request& request, std::uint64_t token) {
    const bool refused =
        !refused_topic_.empty() && query_value(request.query, "topic") == refused_topic_;
    if (mode_ == store_mode::refusing || refused) {
        answer(token, reply(503, json::object()));
        return;
    }
    if (mode_ == store_mode::silent) {
        return;
    }
    if (request.path == "/log-read") {
        read(request, token);
    } else if (request.path == "/log-newest") {
        answer_read(token, newest(request));
    } else if (request.path == "/log-append" && mode_ == store_mode::late_appends) {
        loop_.after(delay_ms_, [this, request] { (void)append(request); });
    } else if (request.path == "/log-append") {
        const auto response = append(request);
        if (mode_ != store_mode::lose_answers) {
            answer(token, response);
        }
    } else {
        answer(token, reply(400, json::object()));
    }
}

void soak_store::answer(std::uint64_t token, const http_response& response) {
    if (mode_ == store_mode::slow) {
        loop_.after(delay_ms_, [this, token, response] { server_->respond(token, response); });
    } else {
        server_->respond(token, response);
    }
}

void soak_store::answer_read(std::uint64_t token, const http_response& response) {
    if (read_bytes_per_second_ == 0) {
        answer(token, response);
        return;
    }
    const time_ms now = monotonic_now();
    reads_busy_until_ = std::max(now, reads_busy_until_) +
                        static_cast<time_ms>(response.body.size() * milliseconds_per_second /
                                             read_bytes_per_second_);
    loop_.after(reads_busy_until_ - now, [this, token, response] { answer(token, response); });
}

http_response soak_store::append(const http_request& request) {
    topic_state& topic = topics_[log_name(request.query)];
    const std::uint64_t end = topic.records.size();
    const std::string expected = query_value(request.query, "at");
    const std::string name = query_value(request.query, "producer");
    producer_state* producer = name.empty() ? nullptr : &topic.producers[name];
    const auto epoch = static_cast<std::uint64_t>(query_number(request.query, "epoch", 0));
    const auto sequence = static_cast<std::uint64_t>(query_number(request.query, "sequence", 0));
    if (producer != nullptr) {
        if (epoch < producer->epoch) {
            return reply(409, {{"reason", "fenced"}});
        }
        if (epoch > producer->epoch) {
            *producer = {epoch, sequence, {}};
        } else if (const auto known = producer->answers.find(sequence);
                   known != producer->answers.end()) {
            return {200, known->second};
        } else if (sequence != producer->sequence + 1) {
            return reply(409, {{"reason", "seq"}, {"sequence", producer->sequence + 1}});
        }
    }
    if (!expected.empty() && expected != std::to_string(end)) {
        return reply(412, {{"end", end}});
    }
    if (!has_valid_sizes(request.body)) {
        return reply(400, json::object());
    }
    std::string_view rest = request.body;
    while (rest.size() > 4) {
        const std::uint64_t length = read_big_endian(rest.substr(0, 4));
        const std::string_view payload = rest.substr(4, length);
        const auto key_length = static_cast<unsigned char>(payload[0]);
        add(topic, std::string(payload.substr(1, key_length)),
            std::string(payload.substr(1U + key_length)));
        rest.remove_prefix(4 + length);
    }
    const http_response response = reply(200, {{"offset", end}, {"end", topic.records.size()}});
    if (producer != nullptr) {
        producer->sequence = sequence;
        producer->answers[sequence] = response.body;
        if (producer->answers.size() > max_kept_answers) {
            producer->answers.erase(producer->answers.begin());
        }
    }
    return response;
}

http_response soak_store::newest(const http_request& request) {
    const topic_state& topic = topics_[log_name(request.query)];
    auto next = topic.newest.upper_bound(query_value(request.query, "dependsOn"));
    json items = json::array();
    std::size_t bytes = 0;
    for (; next != topic.newest.end() && items.size() < max_page_items_ && bytes < max_page_bytes;
         ++next) {
        bytes += topic.records[next->second].value.size();
        items.push_back({{"key", next->first},
                         {"value", encode_base64(topic.records[next->second].value)},
                         {"offset", next->second}});
    }
    return reply(
        200,
        {{"items", items}, {"hasMore", next != topic.newest.end()}, {"end", topic.records.size()}});
}

http_response soak_store::read_response(const std::string& name, std::uint64_t from,
                                        std::size_t max_bytes) {
    const topic_state& topic = topics_[name];
    if (from < topic.first_retained) {
        return reply(410, {{"first", topic.first_retained}});
    }
    http_response response;
    response.content_type = "application/octet-stream";
    response.body = big_endian(topic.records.size(), 8) + big_endian(topic.first_retained, 8);
    std::size_t bytes = 0;
    for (std::uint64_t i = from; i < topic.records.size(); ++i) {
        const record& r = topic.records[i];
        bytes += 4 + 1 + r.key.size() + r.value.size();
        if (i > from && bytes > max_bytes) {
            break;
        }
        response.body += big_endian(1 + r.key.size() + r.value.size(), 4);
        response.body += big_endian(r.key.size(), 1) + r.key + r.value;
    }
    return response;
}

void soak_store::read(const http_request& request, std::uint64_t token) {
    const std::string topic = log_name(request.query);
    const auto from = static_cast<std::uint64_t>(query_number(request.query, "from", 0));
    const time_ms wait = query_number(request.query, "waitMs", 0);
    const std::size_t max_bytes =
        static_cast<std::size_t>(query_number(request.query, "maxKb", default_read_kb)) *
        bytes_per_kb;
    const topic_state& state = topics_[topic];
    if (wait == 0 || from < state.records.size() || from < state.first_retained) {
        answer_read(token, read_response(topic, from, max_bytes));
    } else {
        waiting_reads_[token] = {topic, from, max_bytes, monotonic_now() + wait};
    }
}

void soak_store::answer_waiting_reads() {
    if (mode_ == store_mode::silent) {
        return;
    }
    std::vector<std::pair<std::uint64_t, waiting_read>> due;
    for (const auto& [token, reader] : waiting_reads_) {
        const topic_state& topic = topics_[reader.topic];
        if (mode_ == store_mode::refusing || topic.records.size() > reader.from ||
            monotonic_now() >= reader.deadline) {
            due.emplace_back(token, reader);
        }
    }
    for (const auto& [token, reader] : due) {
        waiting_reads_.erase(token);
        if (mode_ == store_mode::refusing) {
            answer(token, reply(503, json::object()));
        } else {
            answer_read(token, read_response(reader.topic, reader.from, reader.max_bytes));
        }
    }
}

} // namespace fulmarworks::soak
