#include "executor.h"

#include <algorithm>

namespace fulmarworks::review {

namespace {

constexpr time_ms heartbeat_ms = 1500;
constexpr int missed_heartbeats = 3;
constexpr time_ms max_lease_ms = 6000;
constexpr time_ms stop_timeout_ms = 200;
constexpr time_ms gang_timeout_ms = 3000;
constexpr time_ms failure_after_ms = 300;
constexpr std::size_t max_listed_ends = 500;

int index_of(const std::string& task) {
    return std::stoi(task.substr(task.rfind('.') + 1));
}

} // namespace

std::string make_spec(time_ms run_ms, time_ms spread_ms, int gpu, int gang_size) {
    return json({{"ms", run_ms}, {"spread", spread_ms}, {"gpu", gpu}, {"gang", gang_size}}).dump();
}

executor::executor(event_loop& loop, soak::soak_store& store, run_ledger& ledger,
                   gang_members& gangs, executor_settings settings)
    : loop_(loop), store_(store), ledger_(ledger), gangs_(gangs), settings_(std::move(settings)) {}

result<bool> executor::listen() {
    auto server = http_server::Builder()
                      .address(settings_.address)
                      .header("X-Fulmarworks-Expected-Instance")
                      .idle_timeout_ms(60 * milliseconds_per_second)
                      .on_request([this](const http_request& r, std::uint64_t t) { handle(r, t); })
                      .on_gone([this](std::uint64_t token) { polls_.erase(token); })
                      .build(loop_);
    if (!server) {
        return server.error();
    }
    server_ = std::move(server.value());
    heartbeat();
    return true;
}

void executor::set_fault(executor_fault fault) {
    fault_ = fault;
    if (fault == executor_fault::lost) {
        drop_runs();
    }
}

bool executor::is_unreachable() const {
    return fault_ == executor_fault::silent || fault_ == executor_fault::lost;
}

void executor::drop_runs() {
    for (const auto& r : runs_) {
        if (r.work.gang_size > 0) {
            --gangs_[gang_key(r)];
        }
        ledger_.ended(settings_.id, r.task, r.run, "crashed");
    }
    runs_.clear();
}

int executor::used_gpu() const {
    int used = 0;
    for (const auto& r : runs_) {
        used += r.work.gpu;
    }
    return used;
}

time_ms executor::clock() const {
    return monotonic_now() - born_at_;
}

void executor::handle(const http_request& request, std::uint64_t token) {
    if (is_unreachable()) {
        return;
    }
    if (request.headers[0] != settings_.id) {
        server_->respond(token, empty_response(421));
        return;
    }
    const auto parsed = parse_json(request.body);
    if (!parsed || !parsed.value().is_object()) {
        server_->respond(token, empty_response(400));
        return;
    }
    const json& order = parsed.value();
    if (request.path == "/hold") {
        poll(order, token);
    } else if (request.path == "/run-stop") {
        server_->respond(token, stop(order));
    } else if (fault_ == executor_fault::refuses_starts) {
        ledger_.note("start refused with 503: task=" + order.value("task", "") +
                     " executor=" + settings_.id);
        server_->respond(token, empty_response(503));
    } else if (late_start_ms_ > 0) {
        ledger_.note("start left unanswered, carried out in " + std::to_string(late_start_ms_) +
                     " ms: task=" + order.value("task", "") + " executor=" + settings_.id);
        loop_.after(late_start_ms_, [this, order] { (void)start(order); });
    } else {
        server_->respond(token, start(order));
    }
}

http_response executor::reply(int status, json body) const {
    body["clockMs"] = clock();
    http_response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

bool executor::accept_fence(const json& order) {
    const auto token = order.value("fencingToken", std::uint64_t{0});
    if (token < fence_) {
        return false;
    }
    fence_ = token;
    return true;
}

void executor::extend_lease(const json& order) {
    const time_ms until = std::min(order.value("deadlineMs", time_ms{0}), clock() + max_lease_ms);
    lease_end_ = std::max(lease_end_, until);
}

executor::shape executor::decode_shape(const json& order) {
    const auto spec = parse_json(order.value("spec", "{}"));
    const json fields = spec && spec.value().is_object() ? spec.value() : json::object();
    constexpr int spread_steps = 97;
    const int step = index_of(order.value("task", ".0")) * 31 % spread_steps;
    return {fields.value("gpu", 0),
            fields.value("ms", time_ms{1000}) +
                fields.value("spread", time_ms{0}) * step / spread_steps,
            fields.value("gang", 0)};
}

std::string executor::gang_key(const active& run) const {
    return run.task.substr(0, run.task.rfind('.')) + "#" + std::to_string(run.run);
}

http_response executor::start(const json& order) {
    if (!accept_fence(order)) {
        return reply(409, {{"reason", "fence"}});
    }
    const auto task = order.value("task", std::string());
    const int run = order.value("run", 0);
    const bool present = std::any_of(runs_.begin(), runs_.end(), [&](const active& r) {
        return r.task == task && r.run == run;
    });
    if (present) {
        return reply(200, json::object());
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
    runs_.push_back({task, run, decode_shape(order), monotonic_now(), 0, 0, false});
    if (runs_.back().work.gang_size > 0) {
        ++gangs_[gang_key(runs_.back())];
    }
    ledger_.started(settings_.id, task, run);
    return reply(200, json::object());
}

http_response executor::stop(const json& order) {
    if (!accept_fence(order)) {
        return reply(409, {{"reason", "fence"}});
    }
    const auto task = order.value("task", std::string());
    const int run = order.value("run", 0);
    closed_[task] = std::max(closed_[task], run);
    for (auto& r : runs_) {
        if (r.task == task && r.run == run && r.stop_at == 0) {
            r.stop_at = monotonic_now() + stop_timeout_ms;
        }
    }
    return reply(200, json::object());
}

void executor::poll(const json& order, std::uint64_t token) {
    if (!accept_fence(order)) {
        server_->respond(token, reply(409, {{"reason", "fence"}}));
        return;
    }
    const auto observed = order.value("observed", std::uint64_t{0});
    for (const auto& e : ends_) {
        if (e.number <= observed && !e.lapsed) {
            ledger_.observed(settings_.id, e.task, e.run);
        }
    }
    std::erase_if(ends_, [&](const end& e) { return e.number <= observed; });
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
        const double share =
            r.progress_ms / static_cast<double>(std::max<time_ms>(r.work.run_ms, 1));
        running.push_back({r.task, r.run, "", static_cast<int>(std::min(share, 0.99) * 100), 0});
    }
    json finished = json::array();
    for (const auto& e : ends_) {
        if (finished.size() < max_listed_ends) {
            finished.push_back({e.number, e.task, e.run, e.how, ""});
        }
    }
    return reply(200, {{"running", running}, {"finished", finished}, {"born", born_wall_ms_}});
}

std::string executor::end_of(const active& run) const {
    if (run.stop_at != 0 && monotonic_now() >= run.stop_at) {
        return "stopped";
    }
    if (clock() >= lease_end_) {
        return "lapsed";
    }
    if (fault_ == executor_fault::fails_runs &&
        monotonic_now() - run.started_at >= failure_after_ms) {
        return "failed";
    }
    if (run.progress_ms >= static_cast<double>(run.work.run_ms)) {
        return "done";
    }
    if (run.work.gang_size > 0 && gangs_[gang_key(run)] < run.work.gang_size) {
        if (run.gang_was_present) {
            return "broken";
        }
        return monotonic_now() - run.started_at >= gang_timeout_ms ? "alone" : "";
    }
    return "";
}

void executor::end_run(std::size_t index, const std::string& how) {
    const active run = runs_[index];
    runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
    closed_[run.task] = std::max(closed_[run.task], run.run);
    ends_.push_back({++last_end_, run.task, run.run, how, false});
    if (run.work.gang_size > 0 && how != "done") {
        --gangs_[gang_key(run)];
    }
    ledger_.ended(settings_.id, run.task, run.run, how);
}

void executor::advance() {
    const time_ms now = monotonic_now();
    const time_ms elapsed = now - std::exchange(advanced_at_, now);
    for (auto& r : runs_) {
        const bool present = r.work.gang_size == 0 || gangs_[gang_key(r)] >= r.work.gang_size;
        r.gang_was_present = r.gang_was_present || present;
        r.progress_ms += present ? static_cast<double>(elapsed) : 0;
    }
    for (std::size_t i = runs_.size(); i-- > 0;) {
        if (const std::string how = end_of(runs_[i]); !how.empty()) {
            end_run(i, how);
        }
    }
    for (auto& e : ends_) {
        e.lapsed = e.lapsed || clock() >= lease_end_;
    }
    std::vector<std::uint64_t> due;
    for (const auto& [token, waiting] : polls_) {
        if (last_end_ > waiting.seen || now >= waiting.deadline) {
            due.push_back(token);
        }
    }
    for (const std::uint64_t token : due) {
        polls_.erase(token);
        if (!is_unreachable()) {
            server_->respond(token, lists());
        }
    }
    if (!is_unreachable() && now - beat_at_ >= heartbeat_ms) {
        heartbeat();
    } else if (listed_ && now - beat_at_ >= missed_heartbeats * heartbeat_ms) {
        listed_ = false;
        store_.put("keyed.servers", settings_.id, "");
    }
}

void executor::restart() {
    drop_runs();
    ends_.clear();
    closed_.clear();
    last_end_ = 0;
    fence_ = 0;
    lease_end_ = 0;
    beats_ = 0;
    born_wall_ms_ = std::max(wall_now(), born_wall_ms_ + 1);
    born_at_ = monotonic_now();
    ledger_.note("executor started again: id=" + settings_.id);
    heartbeat();
}

void executor::heartbeat() {
    beat_at_ = monotonic_now();
    listed_ = true;
    store_.put(
        "keyed.servers", settings_.id,
        json({{"service", settings_.pool},
              {"address", settings_.address},
              {"zone", "z1"},
              {"version", "v1"},
              {"slots", 8},
              {"state", "ready"},
              {"coldRemainingMs", 0},
              {"capacity", {{"cpu", settings_.cpu}, {"memMb", 262144}, {"gpu", settings_.gpu}}},
              {"labels", {settings_.kind, settings_.rack}},
              {"born", born_wall_ms_},
              {"clockMs", clock()},
              {"sequence", ++beats_}})
            .dump());
}

} // namespace fulmarworks::review
