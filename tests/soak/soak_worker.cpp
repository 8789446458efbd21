#include "soak_worker.h"

#include <algorithm>

namespace fulmarworks::soak {

namespace {

constexpr scheduler::resources capacity{128000, 262144, 8};
constexpr time_ms heartbeat_ms = 1500;
/** Time without a heartbeat after which the registry drops an entry. */
constexpr time_ms registry_silence_ms = 3 * heartbeat_ms;
constexpr time_ms longest_lease_ms = 6000;
constexpr time_ms stop_timeout_ms = 200;
constexpr time_ms gang_timeout_ms = 3000;
constexpr time_ms late_order_ms = 2500;
constexpr double slow_factor = 5;
constexpr std::size_t listed_ends = 500;

http_response reply(int status, json body, time_ms clock_ms) {
    body["clockMs"] = clock_ms;
    http_response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

std::string gang_key(const task_name& task, int run) {
    return task.job + "." + std::to_string(task.step) + "." + std::to_string(run);
}

} // namespace

soak_worker::soak_worker(worker_context context, std::string id, std::string address,
                         std::string rack, double clock_rate)
    : context_(context), id_(std::move(id)), address_(std::move(address)), rack_(std::move(rack)),
      clock_rate_(clock_rate), born_wall_(wall_now()), began_at_(monotonic_now()),
      advanced_at_(began_at_) {}

result<bool> soak_worker::listen() {
    auto server = http_server::Builder()
                      .address(address_)
                      .header("X-Fulmarworks-Expected-Instance")
                      .read_timeout_ms(60 * milliseconds_per_second)
                      .on_request([this](const http_request& r, std::uint64_t t) { handle(r, t); })
                      .on_gone([this](std::uint64_t token) { polls_.erase(token); })
                      .build(context_.loop);
    if (!server) {
        return server.error();
    }
    server_ = std::move(server.value());
    heartbeat();
    return true;
}

time_ms soak_worker::clock() const {
    constexpr time_ms offset_ms = 100000;
    return offset_ms +
           static_cast<time_ms>(static_cast<double>(monotonic_now() - began_at_) * clock_rate_);
}

scheduler::resources soak_worker::used() const {
    scheduler::resources sum;
    for (const auto& run : runs_) {
        sum += run.shape.per_task;
    }
    return sum;
}

void soak_worker::handle(const http_request& request, std::uint64_t token) {
    if (gone_ || fault_ == worker_fault::unreachable) {
        return;
    }
    if (request.headers[0] != id_) {
        server_->respond(token, {421, "{}"});
        return;
    }
    const auto parsed = parse_json(request.body);
    if (!parsed || !parsed.value().is_object()) {
        server_->respond(token, {400, "{}"});
        return;
    }
    const json& order = parsed.value();
    if (request.path == "/hold") {
        poll(order, token);
    } else if (request.path == "/run-stop") {
        server_->respond(token, stop(order));
    } else if (fault_ == worker_fault::late_orders) {
        context_.loop.after(late_order_ms, [this, order, born = born_wall_] {
            if (!gone_ && born == born_wall_) {
                (void)start(order);
            }
        });
    } else {
        server_->respond(token, start(order));
    }
}

bool soak_worker::accept_token(const json& order) {
    const auto token = order.value("fencingToken", std::uint64_t{0});
    if (token < highest_token_) {
        return false;
    }
    highest_token_ = token;
    return true;
}

void soak_worker::extend_lease(const json& order) {
    const time_ms now = clock();
    const time_ms end = std::min(order.value("deadlineMs", time_ms{0}), now + longest_lease_ms);
    lease_ends_ = std::max(lease_ends_, end);
}

std::string soak_worker::refusal_of(const json& order, const task_name& task, int run) const {
    const auto barred = barred_.find(task.text);
    if (barred != barred_.end() && run <= barred->second) {
        return "old";
    }
    return order.value("deadlineMs", time_ms{0}) <= clock() ? "late" : "";
}

http_response soak_worker::start(const json& order) {
    if (!accept_token(order)) {
        return reply(409, {{"reason", "fence"}}, clock());
    }
    const task_name task = parse_task_name(order.value("task", ""));
    const int run = order.value("run", 0);
    for (const auto& known : runs_) {
        if (known.task.text == task.text && known.run == run) {
            return reply(200, json::object(), clock());
        }
    }
    const std::string refusal = refusal_of(order, task, run);
    if (!refusal.empty()) {
        return reply(409, {{"reason", refusal}}, clock());
    }
    extend_lease(order);
    const job_shape shape = decode_shape(order.value("spec", "[]"));
    run_state begun{task, run, shape.steps.at(task.step), 0, monotonic_now(), 0, false};
    runs_.push_back(begun);
    context_.rules.started(task, run, id_, used(), capacity);
    if (begun.shape.gang) {
        ++context_.gangs[gang_key(task, run)];
    }
    return reply(200, json::object(), clock());
}

http_response soak_worker::stop(const json& order) {
    if (!accept_token(order)) {
        return reply(409, {{"reason", "fence"}}, clock());
    }
    const task_name task = parse_task_name(order.value("task", ""));
    const int run = order.value("run", 0);
    barred_[task.text] = std::max(barred_[task.text], run);
    for (auto& known : runs_) {
        if (known.task.text == task.text && known.run == run && known.stops_at == 0) {
            known.stops_at = monotonic_now() + stop_timeout_ms;
        }
    }
    return reply(200, json::object(), clock());
}

void soak_worker::poll(const json& order, std::uint64_t token) {
    if (!accept_token(order)) {
        server_->respond(token, reply(409, {{"reason", "fence"}}, clock()));
        return;
    }
    const auto observed = order.value("observed", std::uint64_t{0});
    for (const auto& e : ended_) {
        if (e.number <= observed) {
            context_.rules.observed(e.task, e.how);
        }
    }
    std::erase_if(ended_, [&](const end_record& e) { return e.number <= observed; });
    if (order.contains("deadlineMs")) {
        extend_lease(order);
    }
    const time_ms wait = order.value("waitMs", time_ms{0});
    if (wait == 0 || !ended_.empty()) {
        server_->respond(token, lists());
    } else {
        polls_[token] = {monotonic_now() + wait, ends_};
    }
}

http_response soak_worker::lists() const {
    json running = json::array();
    for (const auto& r : runs_) {
        const double part = r.done_ms / static_cast<double>(std::max<time_ms>(r.shape.run_ms, 1));
        running.push_back({r.task.text, r.run, "", static_cast<int>(std::min(part, 0.99) * 100)});
    }
    json finished = json::array();
    for (const auto& e : ended_) {
        if (finished.size() < listed_ends) {
            finished.push_back({e.number, e.task.text, e.run, e.how, ""});
        }
    }
    return reply(200, {{"running", running}, {"finished", finished}, {"born", born_wall_}},
                 clock());
}

bool soak_worker::gang_present(const run_state& run) const {
    const auto found = context_.gangs.find(gang_key(run.task, run.run));
    return !run.shape.gang || (found != context_.gangs.end() && found->second == run.shape.tasks);
}

void soak_worker::move_on(run_state& run, time_ms passed_ms) {
    if (gang_present(run)) {
        run.was_complete = true;
        const double slowed = fault_ == worker_fault::slow ? slow_factor : 1;
        run.done_ms += fault_ == worker_fault::hang ? 0 : static_cast<double>(passed_ms) / slowed;
    }
}

std::string soak_worker::end_of(const run_state& run) const {
    constexpr double failing_share = 0.3;
    const time_ms now = monotonic_now();
    const auto whole = static_cast<double>(run.shape.run_ms);
    if (run.stops_at != 0 && now >= run.stops_at) {
        return "stopped";
    }
    if (clock() >= lease_ends_) {
        return "lapsed";
    }
    if (fault_ == worker_fault::fail_tasks && run.done_ms >= failing_share * whole) {
        return "failed";
    }
    if (run.done_ms >= whole) {
        return "done";
    }
    if (!gang_present(run)) {
        if (run.was_complete) {
            return "broken";
        }
        return now - run.began_at >= gang_timeout_ms ? "alone" : "";
    }
    return "";
}

void soak_worker::end(std::size_t index, const std::string& how) {
    const run_state run = runs_[index];
    runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
    barred_[run.task.text] = std::max(barred_[run.task.text], run.run);
    ended_.push_back({++ends_, run.task, run.run, how});
    context_.rules.ended(run.task, how);
    // Members that are done stay counted, so that the others end as done too.
    if (run.shape.gang && how != "done") {
        --context_.gangs[gang_key(run.task, run.run)];
    }
}

void soak_worker::advance() {
    const time_ms now = monotonic_now();
    const time_ms passed = now - advanced_at_;
    advanced_at_ = now;
    if (gone_) {
        return;
    }
    for (auto& run : runs_) {
        move_on(run, passed);
    }
    for (std::size_t i = runs_.size(); i-- > 0;) {
        const std::string how = end_of(runs_[i]);
        if (!how.empty()) {
            end(i, how);
        }
    }
    if (draining_ && now >= leaves_at_) {
        drop_everything();
        gone_ = true;
        context_.store.put("keyed.servers", id_, "");
        return;
    }
    std::vector<std::uint64_t> due;
    for (const auto& [token, poll] : polls_) {
        if (ends_ > poll.seen || now >= poll.answer_by) {
            due.push_back(token);
        }
    }
    for (const std::uint64_t token : due) {
        polls_.erase(token);
        if (fault_ != worker_fault::unreachable) {
            server_->respond(token, lists());
        }
    }
    if (fault_ != worker_fault::unreachable && now - heartbeat_at_ >= heartbeat_ms) {
        heartbeat();
    } else if (now - heartbeat_at_ >= registry_silence_ms &&
               now - heartbeat_at_ < registry_silence_ms + passed) {
        context_.store.put("keyed.servers", id_, "");
    }
}

void soak_worker::heartbeat() {
    heartbeat_at_ = monotonic_now();
    json entry = {{"service", "pool"},
                  {"address", address_},
                  {"zone", "z1"},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", draining_ ? "draining" : "ready"},
                  {"capacity",
                   {{"cpu", capacity.cpu_millis},
                    {"memMb", capacity.memory_mb},
                    {"gpu", capacity.accelerators}}},
                  {"labels", {"a", rack_}},
                  {"born", born_wall_},
                  {"clockMs", clock()},
                  {"sequence", ++sequence_}};
    if (draining_) {
        entry["remainingMs"] = std::max<time_ms>(0, leaves_at_ - heartbeat_at_);
    }
    context_.store.put("keyed.servers", id_, entry.dump());
}

void soak_worker::drop_everything() {
    for (const auto& run : runs_) {
        context_.rules.ended(run.task, "died");
        if (run.shape.gang) {
            --context_.gangs[gang_key(run.task, run.run)];
        }
    }
    runs_.clear();
    ended_.clear();
    barred_.clear();
    ends_ = 0;
    highest_token_ = 0;
    lease_ends_ = 0;
}

void soak_worker::restart() {
    drop_everything();
    born_wall_ = std::max(wall_now(), born_wall_ + 1);
    began_at_ = monotonic_now();
    sequence_ = 0;
    if (!gone_) {
        heartbeat();
    }
}

void soak_worker::drain(time_ms remaining_ms) {
    draining_ = true;
    leaves_at_ = monotonic_now() + remaining_ms;
    heartbeat();
}

void soak_worker::come_back() {
    if (!draining_) {
        return;
    }
    draining_ = false;
    gone_ = false;
    restart();
}

} // namespace fulmarworks::soak
