#include "worker_standin.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr time_ms check_interval_ms = 10;

} // namespace

worker_standin::worker_standin(event_loop& loop, std::string host,
                               std::vector<history_entry>& history)
    : loop_(loop), worker_(std::move(host), static_cast<std::uint64_t>(wall_now()), history) {}

result<bool> worker_standin::listen(const std::string& address) {
    auto built = http_server::Builder()
                     .address(address)
                     .on_request([this](const auto& r, auto token) { handle(r, token); })
                     .on_gone([this](auto token) { polls_.erase(token); })
                     .build(loop_);
    if (!built) {
        return built.error();
    }
    server_ = std::move(built.value());
    loop_.every(check_interval_ms, [this] { advance_time(); });
    return true;
}

void worker_standin::restart() {
    const auto now = static_cast<std::uint64_t>(wall_now());
    worker_.restart(std::max(worker_.incarnation() + 1, now), wall_now());
    answer_polls_if_changed();
}

void worker_standin::set_leaving(bool leaving) {
    worker_.set_leaving(leaving);
    answer_polls_if_changed();
}

void worker_standin::set_failing(bool failing) {
    worker_.set_failing(failing);
}

void worker_standin::set_silent(bool silent) {
    silent_ = silent;
}

void worker_standin::set_on(bool on) {
    if (on && !on_) {
        restart();
    }
    on_ = on;
}

void worker_standin::handle(const http_request& r, std::uint64_t token) {
    if (silent_ || !on_) {
        return;
    }
    if (r.path == "/v1/worker") {
        poll(r, token);
    } else if (r.path == "/v1/orders") {
        order(r, token);
    } else if (r.path == "/v1/results") {
        send_result(r, token);
    } else {
        server_->respond(token, {404, "{}"});
    }
}

void worker_standin::poll(const http_request& r, std::uint64_t token) {
    worker_.renew_lease(wall_now(), query_number(r.query, "lease_ms", 10000));
    const auto seen = static_cast<std::uint64_t>(query_number(r.query, "seen_version", 0));
    const time_ms wait = query_number(r.query, "wait_ms", 0);
    if (seen != worker_.version() || wait == 0) {
        respond_report(token);
    } else {
        polls_[token] = {seen, monotonic_now() + wait};
        answered_version_ = worker_.version();
    }
}

void worker_standin::order(const http_request& r, std::uint64_t token) {
    const auto parsed = parse_json(r.body);
    const auto decoded =
        parsed ? decode_json<task_order>(parsed.value()) : result<task_order>(parsed.error());
    if (!decoded) {
        server_->respond(token, {400, "{}"});
        return;
    }
    const order_result answer = worker_.handle_order(decoded.value(), wall_now());
    if (answer == order_result::accepted) {
        respond_report(token);
        answer_polls_if_changed();
    } else {
        const bool stale_epoch = answer == order_result::stale_epoch;
        const char* reason = stale_epoch ? "stale_epoch" : "stale_incarnation";
        server_->respond(token, {409, json{{"reason", reason}}.dump()});
    }
}

void worker_standin::send_result(const http_request& r, std::uint64_t token) {
    const auto attempt = static_cast<int>(query_number(r.query, "attempt", 0));
    const std::string* found = worker_.find_result(query_value(r.query, "job"), attempt);
    if (found == nullptr) {
        server_->respond(token, {404, "{}"});
    } else {
        server_->respond(token, {200, *found, "application/octet-stream"});
    }
}

void worker_standin::advance_time() {
    worker_.advance(wall_now());
    answer_polls_if_changed();
    if (silent_ || !on_) {
        return;
    }
    const time_ms now = monotonic_now();
    const auto waiting = polls_;
    for (const auto& [token, p] : waiting) {
        if (now >= p.answer_by) {
            polls_.erase(token);
            answer_poll(token, p);
        }
    }
}

void worker_standin::answer_poll(std::uint64_t token, const pending_poll& p) {
    if (p.seen_version == worker_.version()) {
        server_->respond(token, {304, ""});
    } else {
        respond_report(token);
    }
}

void worker_standin::answer_polls_if_changed() {
    if (silent_ || !on_ || worker_.version() == answered_version_) {
        return;
    }
    answered_version_ = worker_.version();
    const auto waiting = polls_;
    polls_.clear();
    for (const auto& [token, p] : waiting) {
        respond_report(token);
    }
}

void worker_standin::respond_report(std::uint64_t token) {
    server_->respond(token, {200, json(worker_.report()).dump()});
}

} // namespace fulmarworks
