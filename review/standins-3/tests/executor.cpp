#include "executor.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace fulmarworks::review {

namespace {

constexpr time_ms heartbeat_ms = 1500;
constexpr time_ms max_lease_ms = 6000;
constexpr time_ms stop_ms = 100;
constexpr time_ms startup_ms = 500;
constexpr time_ms checkpoint_ms = 1000;
constexpr time_ms gang_timeout_ms = 4000;
/** Share of its work after which a task that can't be done fails, in percent. */
constexpr time_ms failure_percent = 30;
constexpr std::size_t max_listed_ends = 500;
/** Reading of the executor's clock at the beginning of a life. */
constexpr time_ms first_clock_ms = 1000;

} // namespace

executor::executor(event_loop& loop, soak::soak_store& store, record& log, gang_runs& gangs,
                   executor_options options)
    : loop_(loop), store_(store), log_(log), gangs_(gangs), options_(std::move(options)) {
    loop_.every(10, [this] { advance(); });
}

void executor::start() {
    auto server = http_server::Builder()
                      .address(options_.address)
                      .header("X-Fulmarworks-Expected-Instance")
                      .idle_timeout_ms(60 * milliseconds_per_second)
                      .on_request([this](const http_request& r, std::uint64_t t) { handle(r, t); })
                      .on_gone([this](std::uint64_t token) { polls_.erase(token); })
                      .build(loop_);
    if (!server) {
        throw std::runtime_error(describe(server.error()));
    }
    server_ = std::move(server.value());
    born_ = wall_now() + day_offset_ms_;
    life_started_at_ = monotonic_now();
    beats_ = 0;
    highest_token_ = 0;
    lease_end_ = 0;
    last_end_ = 0;
    closed_.clear();
    log_.note("executor " + options_.id + " starts, born " + std::to_string(born_));
    heartbeat();
}

void executor::crash() {
    log_.note("executor " + options_.id + " crashes");
    for (const auto& r : runs_) {
        log_.end_run(r.span, "with its executor");
        if (r.gang > 0 && !gang_of(r).done) {
            gang_of(r).broken = true;
        }
    }
    runs_.clear();
    ends_.clear();
    polls_.clear();
    server_.reset();
    crashed_at_ = monotonic_now();
}

bool executor::works_on(const std::string& task) const {
    return std::any_of(runs_.begin(), runs_.end(), [&](const auto& r) { return r.task == task; });
}

time_ms executor::clock() const {
    return first_clock_ms + monotonic_now() - life_started_at_;
}

gang_run& executor::gang_of(const active_run& r) const {
    return gangs_[r.task.substr(0, r.task.rfind('.')) + " " + std::to_string(r.run)];
}

time_ms executor::work_done(const active_run& r) const {
    const time_ms since = r.gang > 0 ? gang_of(r).all_present_at : r.started_at;
    return r.restored_ms + (since == 0 ? 0 : monotonic_now() - since);
}

std::string executor::saved(const active_run& r) const {
    if (r.run_ms == 0) {
        return "";
    }
    const time_ms done = work_done(r) / checkpoint_ms * checkpoint_ms;
    return done == 0 ? "" : "w" + std::to_string(done);
}

http_response executor::reply(int status, json body) const {
    body["clockMs"] = clock();
    http_response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

void executor::handle(const http_request& request, std::uint64_t token) {
    if (cut_) {
        return;
    }
    if (request.headers[0] != options_.id) {
        server_->respond(token, reply(421, json::object()));
        return;
    }
    const auto parsed = parse_json(request.body);
    if (!parsed || !parsed.value().is_object()) {
        server_->respond(token, reply(400, json::object()));
        return;
    }
    const json& order = parsed.value();
    if (request.path == "/hold") {
        hold(order, token);
    } else if (request.path == "/run-stop") {
        server_->respond(token, stop_run(order));
    } else if (request.path == "/run-start" && late_by_ms_ > 0) {
        log_.note("order to start " + order.value("task", "") + " run " +
                  std::to_string(order.value("run", 0)) + " reaches " + options_.id +
                  " late and gets no answer");
        ++held_starts_;
        loop_.after(std::exchange(late_by_ms_, 0), [this, order, expected = options_.id] {
            --held_starts_;
            if (is_up() && expected == options_.id) {
                (void)start_run(order, " (late order)");
            }
        });
    } else if (request.path == "/run-start") {
        server_->respond(token, start_run(order, ""));
    } else {
        server_->respond(token, reply(400, json::object()));
    }
}

bool executor::accept_token(const json& order) {
    const auto token = order.value("fencingToken", std::uint64_t{0});
    if (token < highest_token_) {
        return false;
    }
    highest_token_ = token;
    return true;
}

void executor::extend_lease(const json& order) {
    const time_ms end = std::min(order.value("deadlineMs", time_ms{0}), clock() + max_lease_ms);
    lease_end_ = std::max(lease_end_, end);
}

http_response executor::start_run(const json& order, const std::string& remark) {
    if (!accept_token(order)) {
        return reply(409, {{"reason", "fence"}});
    }
    const std::string task = order.value("task", "");
    const int run = order.value("run", 0);
    for (const auto& r : runs_) {
        if (r.task == task && r.run == run) {
            return reply(200, json::object());
        }
    }
    const auto closed = closed_.find(task);
    if (closed != closed_.end() && run <= closed->second) {
        extend_lease(order);
        return reply(409, {{"reason", "old"}});
    }
    if (order.value("deadlineMs", time_ms{0}) <= clock()) {
        return reply(409, {{"reason", "late"}});
    }
    extend_lease(order);
    const json spec = parse_json(order.value("spec", "{}")).value();
    const std::string checkpoint = order.value("checkpoint", "");
    active_run r;
    r.task = task;
    r.run = run;
    r.run_ms = spec.value("ms", time_ms{0});
    r.started_at = monotonic_now();
    r.restored_ms = checkpoint.empty() ? 0 : std::stoll(checkpoint.substr(1));
    r.gang = spec.value("gang", 0);
    r.fails = spec.value("fails", false);
    r.span = log_.begin_run({task, run, options_.id + remark, checkpoint, spec.value("gpu", 0),
                             monotonic_now(), 0, "", 0});
    if (r.gang > 0) {
        gang_run& gang = gang_of(r);
        gang.all_present_at = ++gang.present == r.gang ? monotonic_now() : gang.all_present_at;
    }
    runs_.push_back(std::move(r));
    return reply(200, json::object());
}

http_response executor::stop_run(const json& order) {
    if (!accept_token(order)) {
        return reply(409, {{"reason", "fence"}});
    }
    const std::string task = order.value("task", "");
    const int run = order.value("run", 0);
    closed_[task] = std::max(closed_[task], run);
    for (auto& r : runs_) {
        if (r.task == task && r.run == run && r.stop_at == 0) {
            r.stop_at = monotonic_now() + stop_ms;
        }
    }
    return reply(200, json::object());
}

void executor::hold(const json& order, std::uint64_t token) {
    if (!accept_token(order)) {
        server_->respond(token, reply(409, {{"reason", "fence"}}));
        return;
    }
    const auto observed = order.value("observed", std::uint64_t{0});
    std::erase_if(ends_, [&](const auto& e) {
        if (e.number <= observed) {
            log_.observe_end(e.span);
        }
        return e.number <= observed;
    });
    if (order.contains("deadlineMs")) {
        extend_lease(order);
    }
    const time_ms wait = order.value("waitMs", time_ms{0});
    if (wait == 0 || !ends_.empty()) {
        server_->respond(token, lists());
    } else {
        polls_[token] = {monotonic_now() + wait, last_end_};
    }
}

http_response executor::lists() const {
    json running = json::array();
    for (const auto& r : runs_) {
        const time_ms worked = monotonic_now() - r.started_at;
        const time_ms percent =
            r.run_ms == 0
                ? (worked >= startup_ms ? 100 : 0)
                : std::min<time_ms>(100, work_done(r) * 100 / std::max<time_ms>(r.run_ms, 1));
        running.push_back({r.task, r.run, saved(r), percent});
    }
    json finished = json::array();
    for (const auto& e : ends_) {
        if (finished.size() < max_listed_ends) {
            finished.push_back({e.number, e.task, e.run, e.how, e.saved});
        }
    }
    return reply(200, {{"running", running}, {"finished", finished}, {"born", born_}});
}

void executor::end_run(std::size_t index, const std::string& how) {
    const active_run r = runs_[index];
    runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
    closed_[r.task] = std::max(closed_[r.task], r.run);
    ends_.push_back({++last_end_, r.task, r.run, how, how == "done" ? "" : saved(r), r.span});
    log_.end_run(r.span, how);
    if (r.gang > 0 && how == "done") {
        gang_of(r).done = true;
    } else if (r.gang > 0 && !gang_of(r).done) {
        gang_of(r).broken = true;
    }
}

std::string executor::end_of(const active_run& r) const {
    const time_ms now = monotonic_now();
    if (r.stop_at != 0 && now >= r.stop_at) {
        return "stopped";
    }
    if (clock() >= lease_end_) {
        return "lapsed";
    }
    if (r.gang > 0) {
        const gang_run& gang = gang_of(r);
        if (gang.done) {
            return "done";
        }
        if (gang.broken) {
            return "broken";
        }
        if (gang.all_present_at == 0) {
            return now - r.started_at >= gang_timeout_ms ? "alone" : "";
        }
    }
    if (r.run_ms != 0 && r.fails && work_done(r) * 100 >= r.run_ms * failure_percent) {
        return "failed";
    }
    return r.run_ms != 0 && work_done(r) >= r.run_ms ? "done" : "";
}

void executor::advance() {
    const time_ms now = monotonic_now();
    if (!is_up()) {
        if (listed_ && now - last_beat_at_ >= 3 * heartbeat_ms) {
            store_.put("keyed.servers", options_.id, "");
            listed_ = false;
        }
        return;
    }
    for (std::size_t i = runs_.size(); i-- > 0;) {
        const std::string how = end_of(runs_[i]);
        if (!how.empty()) {
            end_run(i, how);
        }
    }
    std::vector<std::uint64_t> due;
    for (const auto& [token, poll] : polls_) {
        if (last_end_ > poll.seen || now >= poll.until) {
            due.push_back(token);
        }
    }
    for (const std::uint64_t token : due) {
        polls_.erase(token);
        if (!cut_) {
            server_->respond(token, lists());
        }
    }
    if (cut_) {
        if (listed_ && now - last_beat_at_ >= 3 * heartbeat_ms) {
            store_.put("keyed.servers", options_.id, "");
            listed_ = false;
        }
        return;
    }
    if (now - last_beat_at_ >= heartbeat_ms) {
        heartbeat();
    }
}

void executor::heartbeat() {
    last_beat_at_ = monotonic_now();
    listed_ = true;
    const json entry = {
        {"service", options_.service},
        {"address", options_.address},
        {"zone", "z1"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldRemainingMs", 0},
        {"capacity", {{"cpu", options_.cpu}, {"memMb", options_.memory_mb}, {"gpu", options_.gpu}}},
        {"labels", {"a", options_.rack}},
        {"clockMs", clock()},
        {"born", born_},
        {"sequence", ++beats_},
    };
    store_.put("keyed.servers", options_.id, entry.dump());
}

} // namespace fulmarworks::review
