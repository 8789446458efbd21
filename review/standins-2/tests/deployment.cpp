#include "deployment.h"

#include "base/time.h"
#include "free_ports.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace fulmarworks::review {

namespace {

// Figures of the smaller site files.
constexpr time_ms heartbeat_ms = 1500;
constexpr time_ms max_lease_ms = 6000;
constexpr time_ms stop_ms = 200;
constexpr time_ms gang_timeout_ms = 3000;
constexpr time_ms caller_timeout_ms = 3000;
constexpr std::size_t max_listed_ends = 500;
constexpr const char* host_name = "queue.example";

std::string configuration(int version, const std::string& service,
                          const std::string& bulk_service) {
    const std::vector<std::string> prefixes = {"/urgent/", "/normal/", "/bulk/"};
    json routes = json::array();
    for (std::size_t i = 0; i < prefixes.size(); ++i) {
        routes.push_back({{"name", "queue" + std::to_string(i)},
                          {"host", host_name},
                          {"pathPrefix", prefixes[i]},
                          {"service", i == 2 ? bulk_service : service},
                          {"priority", i},
                          {"maxAttempts", 3},
                          {"slackFactor", 2.0},
                          {"targetLatencyMs", 1000},
                          {"timeoutMs", 3000}});
    }
    const auto tenant = [](const char* name, const char* key, int gpu) {
        return json{
            {"name", name}, {"apiKeys", json::array({key})}, {"guaranteed", {{"gpu", gpu}}}};
    };
    return json{{"version", version},
                {"routes", routes},
                {"services", json::array({{{"name", "pool"}}, {{"name", "pool-b"}}})},
                {"tenants", json::array({tenant("a", "key-a", 16), tenant("b", "key-b", 8)})}}
        .dump();
}

json encode(const task_shape& s) {
    return {{"count", s.count}, {"cpu", s.need.cpu}, {"mem", s.need.mem_mb}, {"gpu", s.need.gpu},
            {"ms", s.run_ms},   {"gang", s.gang},    {"save", s.save_ms},    {"lasts", s.lasts}};
}

/** Splits ID.K.STEP.INDEX; the first three name the gang. */
std::vector<std::string> split_task(const std::string& task) {
    std::vector<std::string> parts(1);
    for (const char c : task) {
        if (c == '.') {
            parts.emplace_back();
        } else {
            parts.back() += c;
        }
    }
    return parts;
}

task_shape shape_of(const std::string& task, const std::string& spec) {
    const auto parts = split_task(task);
    const json all = json::parse(spec);
    const json& s = all.at(static_cast<std::size_t>(std::atoi(parts.at(2).c_str())));
    task_shape shape;
    shape.count = s.at("count");
    shape.need = {s.at("cpu"), s.at("mem"), s.at("gpu")};
    shape.run_ms = s.at("ms");
    shape.gang = s.at("gang");
    shape.save_ms = s.at("save");
    shape.lasts = s.at("lasts");
    return shape;
}

std::string gang_key(const std::string& task, int run) {
    const auto parts = split_task(task);
    return parts.at(0) + "." + parts.at(1) + "." + parts.at(2) + "#" + std::to_string(run);
}

std::string checkpoint_text(time_ms progress) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(progress));
    return text;
}

} // namespace

case_options parse_options(int argc, char** argv) {
    if (argc != 5) {
        std::fprintf(stderr, "usage: %s ENTRY_BINARY WORK_DIRECTORY RECORD_FILE TROUBLE\n",
                     argv[0]);
        std::exit(2);
    }
    return {argv[1], argv[2], argv[3], std::strcmp(argv[4], "0") != 0};
}

recorder::recorder(const std::string& file) : out_(file), started_at_(monotonic_now()) {}

time_ms recorder::elapsed() const {
    return monotonic_now() - started_at_;
}

void recorder::write(const std::string& line) {
    out_ << elapsed() << " " << line << "\n" << std::flush;
}

std::string job_body(const std::vector<task_shape>& steps) {
    json spec = json::array();
    json list = json::array();
    for (const auto& s : steps) {
        spec.push_back(encode(s));
        json step = {{"count", s.count},
                     {"cpu", s.need.cpu},
                     {"memMb", s.need.mem_mb},
                     {"gpu", s.need.gpu},
                     {"estimateMs", s.run_ms}};
        if (s.gang) {
            step["gang"] = true;
        }
        if (s.save_ms > 0) {
            step["checkpointing"] = true;
        }
        if (s.lasts) {
            step["longRunning"] = true;
        }
        if (!s.label.empty()) {
            step["requiredLabel"] = s.label;
        }
        if (!s.data_rack.empty()) {
            step["dataRack"] = s.data_rack;
        }
        list.push_back(step);
    }
    return json{{"spec", spec.dump()}, {"steps", list}}.dump();
}

executor::executor(platform& p, std::string id, std::string address, std::string rack,
                   resources capacity)
    : platform_(p), id_(std::move(id)), address_(std::move(address)), rack_(std::move(rack)),
      capacity_(capacity) {}

time_ms executor::clock() const {
    return 1000 + monotonic_now() - life_started_at_;
}

void executor::start_life() {
    born_ = std::max(wall_now(), born_ + 1);
    life_started_at_ = monotonic_now();
    advanced_at_ = life_started_at_;
    sequence_ = 0;
    token_ = 0;
    lease_end_ = 0;
    last_end_ = 0;
    auto built = http_server::Builder()
                     .address(address_)
                     .header("X-Fulmarworks-Expected-Instance")
                     .idle_timeout_ms(60'000)
                     .on_request([this](const http_request& r, std::uint64_t t) { handle(r, t); })
                     .on_gone([this](std::uint64_t t) { held_.erase(t); })
                     .build(platform_.loop);
    if (!built) {
        platform_.record.write("executor " + id_ + " can't listen on " + address_);
        std::exit(2);
    }
    server_ = std::move(built.value());
    write_entry();
    platform_.record.write("executor " + id_ + " up, gpu=" + std::to_string(capacity_.gpu));
}

void executor::crash() {
    platform_.record.write("executor " + id_ + " crashes with " + std::to_string(active_.size()) +
                           " runs");
    while (!active_.empty()) {
        for (auto& known : platform_.runs) {
            if (known.task == active_.back().task && known.run == active_.back().run &&
                known.executor == id_ && known.end.empty()) {
                known.end = "crashed";
            }
        }
        if (auto* gang = gang_of(active_.back())) {
            gang->present.erase(active_.back().task);
            gang->broken = gang->broken || gang->complete_once;
        }
        active_.pop_back();
    }
    ends_.clear();
    closed_.clear();
    held_.clear();
    server_.reset();
}

void executor::write_entry() {
    entry_written_at_ = monotonic_now();
    const json entry = {
        {"service", service_},
        {"address", address_},
        {"zone", "z1"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldRemainingMs", 0},
        {"capacity", {{"cpu", capacity_.cpu}, {"memMb", capacity_.mem_mb}, {"gpu", capacity_.gpu}}},
        {"labels", {kind_, rack_}},
        {"born", born_},
        {"clockMs", clock()},
        {"sequence", ++sequence_}};
    platform_.store.put("keyed.servers", id_, entry.dump());
}

http_response executor::reply(int status, json body) const {
    body["clockMs"] = clock();
    body["born"] = born_;
    http_response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

void executor::handle(const http_request& request, std::uint64_t token) {
    if (request.headers[0] != id_) {
        server_->respond(token, reply(421, json::object()));
        return;
    }
    const json order = json::parse(request.body, nullptr, false);
    if (!order.is_object()) {
        server_->respond(token, reply(400, json::object()));
    } else if (request.path == "/hold") {
        hold(order, token);
    } else if (request.path == "/run-start") {
        server_->respond(token, start(order));
    } else if (request.path == "/run-stop") {
        server_->respond(token, stop(order));
    } else {
        server_->respond(token, reply(404, json::object()));
    }
}

bool executor::fenced(const json& order) {
    const auto token = order.value("fencingToken", std::uint64_t{0});
    if (token < token_) {
        return true;
    }
    token_ = token;
    return false;
}

void executor::extend_lease(const json& order) {
    const auto end = order.value("deadlineMs", time_ms{0});
    lease_end_ = std::max(lease_end_, std::min(end, clock() + max_lease_ms));
}

http_response executor::start(const json& order) {
    const auto task = order.value("task", std::string());
    const int run = order.value("run", 0);
    const auto checkpoint = order.value("checkpoint", std::string());
    const std::string what = "start " + task + " run " + std::to_string(run) + " checkpoint '" +
                             checkpoint + "' at " + id_ + " -> ";
    if (fenced(order)) {
        platform_.record.write(what + "fence");
        return reply(409, {{"reason", "fence"}});
    }
    for (const auto& known : active_) {
        if (known.task == task && known.run == run) {
            return reply(200, json::object());
        }
    }
    extend_lease(order);
    if (closed_.contains(task) && run <= closed_[task]) {
        platform_.record.write(what + "old");
        return reply(409, {{"reason", "old"}});
    }
    if (order.value("deadlineMs", time_ms{0}) <= clock()) {
        platform_.record.write(what + "late");
        return reply(409, {{"reason", "late"}});
    }
    active_run started;
    started.task = task;
    started.run = run;
    started.shape = shape_of(task, order.value("spec", "[]"));
    started.started_at = monotonic_now();
    if (!checkpoint.empty()) {
        started.progress_ms = static_cast<double>(std::strtoull(checkpoint.c_str(), nullptr, 16));
    }
    started.first_checkpoint = checkpoint;
    active_.push_back(started);
    if (started.shape.gang) {
        gang_run& gang = platform_.gangs[gang_key(task, run)];
        gang.present.insert(task);
        gang.progress_ms = std::max(gang.progress_ms, started.progress_ms);
    }
    platform_.runs.push_back({task, run, id_, checkpoint, platform_.record.elapsed(), ""});
    platform_.record.write(what + "200");
    resources used;
    for (const auto& r : active_) {
        used.cpu += r.shape.need.cpu;
        used.mem_mb += r.shape.need.mem_mb;
        used.gpu += r.shape.need.gpu;
    }
    if (used.cpu > capacity_.cpu || used.mem_mb > capacity_.mem_mb || used.gpu > capacity_.gpu) {
        platform_.violations.push_back("LIMIT " + id_ + " has " + std::to_string(used.gpu) +
                                       " of " + std::to_string(capacity_.gpu) + " gpu in use");
        platform_.record.write("VIOLATION " + platform_.violations.back());
    }
    return reply(200, json::object());
}

http_response executor::stop(const json& order) {
    const auto task = order.value("task", std::string());
    const int run = order.value("run", 0);
    platform_.record.write("stop " + task + " run " + std::to_string(run) + " at " + id_);
    if (fenced(order)) {
        return reply(409, {{"reason", "fence"}});
    }
    closed_[task] = std::max(closed_[task], run);
    for (auto& known : active_) {
        if (known.task == task && known.run == run && known.stop_at == 0) {
            known.stop_at = monotonic_now() + stop_ms / 2;
        }
    }
    return reply(200, json::object());
}

void executor::hold(const json& order, std::uint64_t token) {
    if (fenced(order)) {
        server_->respond(token, reply(409, {{"reason", "fence"}}));
        return;
    }
    const auto observed = order.value("observed", std::uint64_t{0});
    std::erase_if(ends_, [&](const auto& e) { return e.number <= observed; });
    if (order.contains("deadlineMs")) {
        extend_lease(order);
    }
    const auto wait = order.value("waitMs", time_ms{0});
    if (wait == 0 || !ends_.empty()) {
        server_->respond(token, lists());
    } else {
        held_[token] = {monotonic_now() + wait};
    }
}

gang_run* executor::gang_of(const active_run& run) const {
    return run.shape.gang ? &platform_.gangs[gang_key(run.task, run.run)] : nullptr;
}

std::string executor::saved_of(const active_run& run, bool now) const {
    if (run.shape.save_ms == 0) {
        return "";
    }
    const gang_run* gang = gang_of(run);
    const double progress = gang != nullptr ? gang->progress_ms : run.progress_ms;
    const auto whole = static_cast<time_ms>(progress);
    const time_ms saved = now ? whole : whole / run.shape.save_ms * run.shape.save_ms;
    return saved == 0 ? run.first_checkpoint : checkpoint_text(saved);
}

http_response executor::lists() const {
    json running = json::array();
    for (const auto& r : active_) {
        const gang_run* gang = gang_of(r);
        const double progress = gang != nullptr ? gang->progress_ms : r.progress_ms;
        const double share = progress / static_cast<double>(std::max<time_ms>(1, r.shape.run_ms));
        const int percent = r.shape.lasts ? 100 : static_cast<int>(std::min(99.0, 100 * share));
        running.push_back({r.task, r.run, saved_of(r, false), percent});
    }
    json finished = json::array();
    for (const auto& e : ends_) {
        if (finished.size() < max_listed_ends) {
            finished.push_back({e.number, e.task, e.run, e.how, e.saved});
        }
    }
    return reply(200, {{"running", running}, {"finished", finished}});
}

std::string executor::end_of(active_run& run) {
    const time_ms now = monotonic_now();
    if (run.stop_at != 0 && now >= run.stop_at) {
        return "stopped";
    }
    if (clock() >= lease_end_) {
        return "lapsed";
    }
    if (const gang_run* gang = gang_of(run)) {
        if (gang->done) {
            return "done";
        }
        if (gang->broken) {
            return "broken";
        }
        if (!gang->complete_once && now - run.started_at >= gang_timeout_ms) {
            return "alone";
        }
        return "";
    }
    const bool over = run.progress_ms >= static_cast<double>(run.shape.run_ms);
    return over && !run.shape.lasts ? "done" : "";
}

void executor::finish(std::size_t position, const std::string& how) {
    const active_run run = active_[position];
    const std::string saved = saved_of(run, how == "stopped");
    active_.erase(active_.begin() + static_cast<std::ptrdiff_t>(position));
    closed_[run.task] = std::max(closed_[run.task], run.run);
    ends_.push_back({++last_end_, run.task, run.run, how, how == "done" ? "" : saved});
    if (gang_run* gang = gang_of(run); gang != nullptr && how != "done") {
        gang->present.erase(run.task);
        gang->broken = gang->broken || gang->complete_once;
    }
    for (auto& known : platform_.runs) {
        if (known.task == run.task && known.run == run.run && known.executor == id_ &&
            known.end.empty()) {
            known.end = how;
        }
    }
    platform_.record.write("end " + run.task + " run " + std::to_string(run.run) + " at " + id_ +
                           " " + how);
}

void executor::advance() {
    if (!server_) {
        return;
    }
    const time_ms now = monotonic_now();
    const time_ms elapsed = now - std::exchange(advanced_at_, now);
    for (auto& r : active_) {
        if (gang_run* gang = gang_of(r)) {
            gang->complete_once = gang->complete_once ||
                                  gang->present.size() == static_cast<std::size_t>(r.shape.count);
            const bool first = !gang->present.empty() && *gang->present.begin() == r.task;
            if (first && gang->complete_once && !gang->broken && !gang->done) {
                gang->progress_ms += static_cast<double>(elapsed);
                gang->done = gang->progress_ms >= static_cast<double>(r.shape.run_ms);
            }
        } else {
            r.progress_ms += static_cast<double>(elapsed);
        }
    }
    for (std::size_t i = active_.size(); i-- > 0;) {
        if (const auto how = end_of(active_[i]); !how.empty()) {
            finish(i, how);
        }
    }
    std::vector<std::uint64_t> due;
    for (const auto& [token, poll] : held_) {
        if (!ends_.empty() || now >= poll.until) {
            due.push_back(token);
        }
    }
    for (const auto token : due) {
        held_.erase(token);
        server_->respond(token, lists());
    }
    if (now - entry_written_at_ >= heartbeat_ms) {
        write_entry();
    }
}

deployment::deployment(const case_options& options, int hosts, int executor_count, int per_rack)
    : record(options.record), store(loop), world{loop, store, record, {}, {}, {}},
      options_(options), http_(std::make_unique<http_client>(loop)), host_count_(hosts) {
    first_port_ = find_free_ports(1 + 3 * hosts + executor_count);
    const int first_executor = first_port_ + 1 + 3 * hosts;
    for (int i = 0; i < executor_count; ++i) {
        executors.push_back(std::make_unique<executor>(
            world, "ex" + std::to_string(100 + i),
            "127.0.0.1:" + std::to_string(first_executor + i), "r1-" + std::to_string(i / per_rack),
            resources{128000, 262144, 8}));
    }
}

deployment::~deployment() {
    processes_.clear();
    http_.reset();
    executors.clear();
}

bool deployment::start(const std::string& bulk_service) {
    const std::string store_address = "127.0.0.1:" + std::to_string(first_port_);
    if (!store.listen(store_address)) {
        return false;
    }
    configure(1, "pool", bulk_service);
    for (auto& e : executors) {
        e->start_life();
    }
    loop.every(10, [this] {
        for (auto& e : executors) {
            e->advance();
        }
    });
    for (int i = 0; i < host_count_; ++i) {
        const std::string name = "entry-" + std::to_string(i);
        const int port = first_port_ + 1 + 3 * i;
        const std::string settings = options_.directory + "/" + name + ".yaml";
        std::ofstream(settings) << "name: " << name
                                << "\nfailure_domain: z1\nip: 127.0.0.1\ncaller_address: 127.0.0.1:"
                                << port << "\nreadiness_address: 127.0.0.1:" << port + 1
                                << "\ninternal_port: " << port + 2
                                << "\nstore_address: " << store_address
                                << "\nstore_partitions: 24\ncpu_share: 0.25\nlink_mbps: 1000.0\n"
                                   "stop_grace_s: 6\nconfiguration_bound_ms: 2000\n"
                                   "max_lease_ms: 6000\nheartbeat_ms: 1500\nstop_timeout_ms: 200\n"
                                   "reclaim_ms: 2700\nremote_factor: 3\nstatus_retention_s: 120\n";
        setenv("FULMARWORKS_CONFIG", settings.c_str(), 1);
        processes_.push_back(
            std::make_unique<child_process>(std::vector<std::string>{options_.binary, "entry"},
                                            options_.directory + "/" + name + ".log"));
    }
    std::set<int> ready;
    for (int attempt = 0; attempt < 40 && ready.size() < static_cast<std::size_t>(host_count_);
         ++attempt) {
        for (int i = 0; i < host_count_; ++i) {
            http_call call;
            call.address = "127.0.0.1:" + std::to_string(first_port_ + 2 + 3 * i);
            call.target = "/readyz";
            call.timeout_ms = 200;
            http_->send(call, [&ready, i](const http_answer& a) {
                if (a.status == 200) {
                    ready.insert(i);
                }
            });
        }
        run_for(250);
    }
    run_for(2000); // the first leader polls the executors
    return ready.size() == static_cast<std::size_t>(host_count_);
}

void deployment::configure(int version, const std::string& service,
                           const std::string& bulk_service) {
    const std::string bulk = bulk_service.empty() ? service : bulk_service;
    record.write("configuration " + std::to_string(version) + " sends the queues to " + service +
                 ", /bulk/ to " + bulk);
    store.put("keyed.op", "config", configuration(version, service, bulk));
}

void deployment::run_for(time_ms duration) {
    loop.run_until([] { return false; }, duration);
}

bool deployment::run_until(const std::function<bool()>& done, time_ms limit) {
    return loop.run_until(done, limit);
}

bool deployment::is_running(const std::string& task) const {
    return std::any_of(world.runs.begin(), world.runs.end(),
                       [&](const auto& run) { return run.task == task && run.end.empty(); });
}

std::string deployment::some_host() {
    return "127.0.0.1:" +
           std::to_string(
               first_port_ + 1 +
               3 * static_cast<int>(next_host_++ % static_cast<std::size_t>(host_count_)));
}

void deployment::submit(const std::string& id, const std::string& prefix, const std::string& body,
                        const std::string& key) {
    jobs[id].body = body;
    jobs[id].prefix = prefix;
    jobs[id].key = key;
    send(id, 4);
}

void deployment::send(const std::string& id, int retries) {
    http_call call;
    call.method = "POST";
    call.address = some_host();
    call.target = jobs[id].prefix + id;
    call.body = jobs[id].body;
    call.timeout_ms = caller_timeout_ms;
    call.headers = {{"Host", host_name},
                    {"X-Api-Key", jobs[id].key},
                    {"Content-Type", "application/json"},
                    {"X-Fulmarworks-Deadline-Ms", std::to_string(caller_timeout_ms)}};
    http_->send(call, [this, id, retries](const http_answer& a) {
        record.write("POST " + id + " -> " + std::to_string(a.status));
        client_job& job = jobs[id];
        if (a.status == 200) {
            job.accepted = true;
            job.accepted_at = record.elapsed();
        } else if (retries > 0) {
            loop.after(std::max<time_ms>(a.retry_after_ms, 200),
                       [this, id, retries] { send(id, retries - 1); });
        }
    });
}

void deployment::ask(const std::string& id) {
    http_call call;
    call.address = some_host();
    call.target = jobs[id].prefix + id;
    call.timeout_ms = caller_timeout_ms;
    call.headers = {{"Host", host_name},
                    {"X-Api-Key", jobs[id].key},
                    {"X-Fulmarworks-Deadline-Ms", std::to_string(caller_timeout_ms)}};
    http_->send(call, [this, id](const http_answer& a) {
        client_job& job = jobs[id];
        std::string shown = std::to_string(a.status);
        if (a.status == 200) {
            const json body = json::parse(a.body, nullptr, false);
            shown = body.is_object() ? body.value("state", "") : "";
        }
        if (shown != job.state) {
            record.write("GET " + id + " -> " + shown);
            job.state = shown;
        }
    });
}

void deployment::watch_states() {
    loop.every(300, [this] {
        for (const auto& [id, job] : jobs) {
            const bool final =
                job.state == "completed" || job.state == "failed" || job.state == "cancelled";
            if (job.accepted && !final) {
                ask(id);
            }
        }
    });
}

bool deployment::all_accepted() const {
    return std::all_of(jobs.begin(), jobs.end(),
                       [](const auto& entry) { return entry.second.accepted; });
}

} // namespace fulmarworks::review
