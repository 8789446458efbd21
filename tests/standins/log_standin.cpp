#include "log_standin.h"

#include "base/json.h"

namespace fulmarworks {

namespace {

constexpr time_ms trim_interval_ms = 50;
constexpr std::uint64_t max_body_bytes = 64 * 1024 * 1024;

std::string stream_name(const std::string& path) {
    const std::string prefix = "/v1/streams/";
    if (path.rfind(prefix, 0) != 0) {
        return "";
    }
    const std::string rest = path.substr(prefix.size());
    return rest.substr(0, rest.find('/'));
}

} // namespace

log_standin::log_standin(event_loop& loop, std::size_t max_records, time_ms max_age_ms)
    : loop_(loop), max_records_(max_records), max_age_ms_(max_age_ms) {}

result<bool> log_standin::listen(const std::string& address) {
    auto built = http_server::Builder()
                     .address(address)
                     .max_body_bytes(max_body_bytes)
                     .on_request([this](const auto& r, auto token) { handle(r, token); })
                     .on_gone([this](auto token) { readers_.erase(token); })
                     .build(loop_);
    if (!built) {
        return built.error();
    }
    server_ = std::move(built.value());
    loop_.every(trim_interval_ms, [this] {
        trim();
        answer_readers(false);
    });
    return true;
}

void log_standin::handle(const http_request& r, std::uint64_t token) {
    if (r.path == "/control") {
        control(r, token);
        return;
    }
    const std::string name = stream_name(r.path);
    if (name.empty()) {
        server_->respond(token, {404, "{}"});
    } else if (mode_ == log_mode::down) {
        server_->respond(token, {503, "{}"});
    } else if (r.method == "POST") {
        append(streams_[name], r, token);
    } else {
        read(name, r, token);
    }
}

void log_standin::control(const http_request& r, std::uint64_t token) {
    const auto parsed = parse_json(r.body);
    if (parsed && parsed.value().is_object()) {
        const auto mode = parse_enum<log_mode>(parsed.value().value("mode", "up"));
        mode_ = mode.value_or(mode_);
        delay_ms_ = parsed.value().value("delay_ms", delay_ms_);
        max_age_ms_ = parsed.value().value("max_age_ms", max_age_ms_);
    }
    const json answer = {{"mode", to_string(mode_)}, {"appends", appends_}};
    server_->respond(token, {200, answer.dump()});
}

void log_standin::append(stream& s, const http_request& r, std::uint64_t token) {
    const auto parsed = parse_json(r.body);
    if (!parsed || !parsed.value().contains("records")) {
        server_->respond(token, {400, "{}"});
        return;
    }
    const std::uint64_t first = s.tail();
    for (const auto& record : parsed.value()["records"]) {
        s.records.push_back({record.get<std::string>(), wall_now()});
    }
    ++appends_;
    const std::string answer = json{{"first_offset", first}}.dump();
    if (mode_ == log_mode::lose_answers) {
        // The records are stored, but the caller times out before this response.
        loop_.after(milliseconds_per_minute, [this, token] {
            server_->respond(token, {504, "{}"});
        });
    } else if (mode_ == log_mode::slow) {
        loop_.after(delay_ms_, [this, token, answer] { server_->respond(token, {200, answer}); });
    } else {
        server_->respond(token, {200, answer});
    }
    answer_readers(true);
}

void log_standin::read(const std::string& name, const http_request& r, std::uint64_t token) {
    pending_read reader;
    reader.stream = name;
    reader.from = static_cast<std::uint64_t>(query_number(r.query, "from", 0));
    reader.limit = static_cast<std::size_t>(query_number(r.query, "limit", 100));
    reader.answer_by = monotonic_now() + query_number(r.query, "wait_ms", 0);
    const stream& s = streams_[name];
    const bool has_news = reader.from != s.tail();
    if (has_news || reader.answer_by <= monotonic_now()) {
        answer_read(token, reader);
    } else {
        readers_[token] = reader;
    }
}

void log_standin::answer_read(std::uint64_t token, const pending_read& reader) {
    const stream& s = streams_[reader.stream];
    json answer = {{"first_offset", reader.from}, {"tail", s.tail()}};
    int status = 200;
    if (reader.from < s.first || reader.from > s.tail()) {
        status = 410;
        answer["first_offset"] = s.first;
    } else {
        json records = json::array();
        for (auto i = reader.from; i < s.tail() && records.size() < reader.limit; ++i) {
            records.push_back(s.records[i - s.first].text);
        }
        answer["records"] = std::move(records);
    }
    const std::string body = answer.dump();
    if (mode_ == log_mode::slow) {
        loop_.after(delay_ms_, [this, token, status, body] {
            server_->respond(token, {status, body});
        });
    } else {
        server_->respond(token, {status, body});
    }
}

void log_standin::answer_readers(bool changed_only) {
    const time_ms now = monotonic_now();
    const auto waiting = readers_;
    for (const auto& [token, reader] : waiting) {
        const bool has_news = reader.from != streams_[reader.stream].tail();
        if (has_news || (!changed_only && now >= reader.answer_by)) {
            readers_.erase(token);
            answer_read(token, reader);
        }
    }
}

void log_standin::trim() {
    const time_ms now = wall_now();
    for (auto& [name, s] : streams_) {
        while (!s.records.empty() && (s.records.size() > max_records_ ||
                                      s.records.front().appended_at + max_age_ms_ < now)) {
            s.records.pop_front();
            ++s.first;
        }
    }
}

} // namespace fulmarworks
