#include "deployment.h"

#include "free_ports.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <sstream>
#include <stdexcept>

namespace fulmarworks::review {

namespace {

constexpr const char* host_name = "review.example";
constexpr const char* api_key = "review-key";
constexpr time_ms caller_timeout_ms = 3000;
constexpr time_ms retry_delay_ms = 300;
constexpr int submission_attempts = 5;
constexpr int ports_per_host = 3;
constexpr time_ms advance_interval_ms = 10;

std::string loopback(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Returns the command of the role in the deploy file. */
std::vector<std::string> deployed_command(const std::string& root) {
    std::istringstream lines(read_file(root + "/deploy/system.toml"));
    const std::string key = "run = \"";
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(key)) {
            std::istringstream words(line.substr(key.size(), line.rfind('"') - key.size()));
            std::vector<std::string> command;
            for (std::string word; words >> word;) {
                command.push_back(command.empty() ? root + "/" + word : word);
            }
            return command;
        }
    }
    throw std::runtime_error("deploy/system.toml has no command");
}

/** Fills in a settings template. Only plain placeholders and those with `|json` occur. */
std::string render(std::string text, const std::map<std::string, std::string>& values) {
    for (const auto& [name, value] : values) {
        const std::array forms{std::pair("{{" + name + "|json}}", json(value).dump()),
                               std::pair("{{" + name + "}}", value)};
        for (const auto& [placeholder, replacement] : forms) {
            for (std::size_t at = text.find(placeholder); at != std::string::npos;
                 at = text.find(placeholder)) {
                text.replace(at, placeholder.size(), replacement);
            }
        }
    }
    if (text.find("{{") != std::string::npos) {
        throw std::runtime_error("the settings template has an unknown placeholder");
    }
    return text;
}

std::string make_configuration(const deployment_settings& settings) {
    json routes = json::array();
    for (const auto& q : settings.queues) {
        routes.push_back({{"name", "r" + std::to_string(routes.size())},
                          {"host", host_name},
                          {"pathPrefix", q.path_prefix},
                          {"type", "non_idempotent"},
                          {"service", "pool"},
                          {"priority", q.priority},
                          {"maxAttempts", q.max_attempts},
                          {"slackFactor", 3.0},
                          {"targetLatencyMs", 1000},
                          {"timeoutMs", 3000},
                          {"public", false}});
    }
    return json{{"version", 1},
                {"routes", routes},
                {"services", json::array({{{"name", "pool"},
                                           {"healthPath", "/healthz"},
                                           {"maxConnections", 64},
                                           {"protocol", "h1"},
                                           {"tls", false},
                                           {"enforcesCapacity", false},
                                           {"standby", false}}})},
                {"limits", {{"maxBodyBytes", 262144}}},
                {"tenants", json::array({{{"name", "t"},
                                          {"apiKeys", {api_key}},
                                          {"priority", 1},
                                          {"guaranteed", {{"gpu", 8}}}}})}}
        .dump();
}

bool is_final(const std::string& state) {
    return state == "completed" || state == "failed" || state == "cancelled";
}

} // namespace

deployment::deployment(deployment_settings settings)
    : settings_(std::move(settings)), ledger_(settings_.record_file), store_(loop_) {
    std::string pattern = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    directory_ = pattern;
    command_ = deployed_command(settings_.root);
    const auto host_count = static_cast<std::size_t>(settings_.entry_hosts);
    const int ports = find_free_ports(1 + settings_.entry_hosts * ports_per_host +
                                      static_cast<int>(settings_.executors.size()));
    store_address_ = loopback(ports);
    if (!store_.listen(store_address_)) {
        throw std::runtime_error("the store's stand-in can't listen");
    }
    store_.put("keyed.op", "config", make_configuration(settings_));
    executors_.reserve(settings_.executors.size());
    for (std::size_t i = 0; i < settings_.executors.size(); ++i) {
        executor_settings s = settings_.executors[i];
        s.id = "i-" + std::to_string(100 + i);
        s.address =
            loopback(ports + 1 + settings_.entry_hosts * ports_per_host + static_cast<int>(i));
        executors_.emplace_back(loop_, store_, ledger_, gangs_, s);
    }
    for (auto& e : executors_) {
        if (!e.listen()) {
            throw std::runtime_error("an executor's stand-in can't listen");
        }
    }
    hosts_.resize(host_count);
    for (std::size_t i = 0; i < host_count; ++i) {
        write_settings(i, ports + 1 + static_cast<int>(i) * ports_per_host);
        start_host(i);
    }
    client_ = std::make_unique<http_client>(loop_);
    loop_.every(advance_interval_ms, [this] {
        for (auto& e : executors_) {
            e.advance();
        }
    });
}

deployment::~deployment() {
    hosts_.clear();
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(directory_);
    } else {
        std::cerr << "logs: " << directory_ << '\n';
    }
}

void deployment::write_settings(std::size_t index, int first_port) {
    host& h = hosts_[index];
    h.name = "client_facing-z1-" + std::to_string(index + 1);
    h.caller_address = loopback(first_port);
    h.readiness_address = loopback(first_port + 1);
    h.internal_address = loopback(first_port + 2);
    h.settings_file = directory_ + "/" + h.name + ".yaml";
    std::ofstream(h.settings_file)
        << render(read_file(settings_.root + "/deploy/settings.yaml.template"),
                  {{"nodeName", h.name},
                   {"zone", "z1"},
                   {"ip", "127.0.0.1"},
                   {"listen.frontend", h.caller_address},
                   {"listen.readiness", h.readiness_address},
                   {"internalPortRange.0", std::to_string(first_port + 2)},
                   {"platform.address", store_address_},
                   {"platform.parts", "24"},
                   {"limits.cpuShare", "0.25"},
                   {"limits.linkMbps", std::to_string(settings_.link_mbps)},
                   {"bounds.graceS", "6"},
                   {"bounds.configApplyMs", "2000"},
                   {"bounds.holdMaxMs", "6000"},
                   {"heartbeatMs", "1500"},
                   {"bounds.stopTimeoutMs", "200"},
                   {"bounds.reclaimMs", "2700"},
                   {"bounds.remoteFactor", "3"},
                   {"bounds.status_s", "120"}});
}

void deployment::start_host(std::size_t index) {
    host& h = hosts_.at(index);
    setenv("FULMARWORKS_CONFIG", h.settings_file.c_str(), 1);
    h.process = std::make_unique<child_process>(command_, directory_ + "/" + h.name + ".log");
    ledger_.note("process started: " + h.name);
}

void deployment::signal_host(std::size_t index, int number) {
    hosts_.at(index).process->signal(number);
    ledger_.note("signal " + std::to_string(number) + " to " + hosts_.at(index).name);
}

void deployment::kill_host(std::size_t index) {
    hosts_.at(index).process.reset();
    ledger_.note("process killed: " + hosts_.at(index).name);
}

std::size_t deployment::leader() const {
    const auto record = store_.newest_of("keyed.leadership", "leader");
    const auto parsed = parse_json(record.value_or("{}"));
    const std::string name =
        parsed && parsed.value().is_object() ? parsed.value().value("name", "") : "";
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i].name == name) {
            return i;
        }
    }
    return 0;
}

void deployment::run_for(time_ms duration_ms) {
    loop_.run_until([] { return false; }, duration_ms);
}

bool deployment::run_until(const std::function<bool()>& done, time_ms limit_ms) {
    return loop_.run_until(done, limit_ms);
}

void deployment::after(time_ms delay_ms, std::function<void()> action) {
    loop_.after(delay_ms, std::move(action));
}

bool deployment::wait_until_ready(time_ms limit_ms) {
    const time_ms end = monotonic_now() + limit_ms;
    for (const auto& h : hosts_) {
        bool ready = false;
        while (!ready && monotonic_now() < end) {
            bool answered = false;
            http_call call;
            call.address = h.readiness_address;
            call.target = "/readyz";
            call.timeout_ms = 1000;
            client_->send(call, [&](const http_answer& a) {
                answered = true;
                ready = a.status == 200;
            });
            loop_.run_until([&] { return answered; }, 2000);
            run_for(50);
        }
        if (!ready) {
            return false;
        }
    }
    constexpr time_ms settling_ms = 3000; // the first leader polls all executors
    run_for(settling_ms);
    return true;
}

http_call deployment::make_call(const std::string& method, const std::string& target,
                                std::size_t index) const {
    http_call call;
    call.method = method;
    call.address = hosts_.at(index).caller_address;
    call.target = target;
    call.timeout_ms = caller_timeout_ms;
    call.headers = {{"Host", host_name},
                    {"Content-Type", "application/json"},
                    {"X-Api-Key", api_key},
                    {"X-Fulmarworks-Deadline-Ms", std::to_string(caller_timeout_ms)}};
    return call;
}

client_job& deployment::submit(const std::string& queue, const json& body) {
    return submit_at(next_host_++ % hosts_.size(), queue, body);
}

client_job& deployment::submit_at(std::size_t index, const std::string& queue, const json& body,
                                  std::function<void()> on_accepted) {
    constexpr std::uint64_t first_id = 0x5c0e7a2100000000;
    std::ostringstream id;
    id << std::hex << first_id + jobs_.size();
    client_job job;
    job.id = id.str();
    job.queue = queue;
    job.body = body.dump();
    job.on_accepted = std::move(on_accepted);
    jobs_.push_back(std::move(job));
    send_submission(jobs_.back(), index, submission_attempts);
    return jobs_.back();
}

void deployment::send_submission(client_job& job, std::size_t index, int attempts_left) {
    http_call call = make_call("POST", job.queue + job.id, index);
    call.body = job.body;
    ledger_.note("POST " + call.target + " at " + hosts_[index].name);
    client_->send(call, [this, &job, index, attempts_left](const http_answer& a) {
        ledger_.note("POST " + job.queue + job.id + " answered " + std::to_string(a.status));
        if (a.status == 200) {
            job.accepted = true;
            job.accepted_at = ledger_.now();
            if (job.on_accepted) {
                job.on_accepted();
            }
        } else if (attempts_left > 1) {
            loop_.after(std::max(a.retry_after_ms, retry_delay_ms),
                        [this, &job, index, attempts_left] {
                            send_submission(job, (index + 1) % hosts_.size(), attempts_left - 1);
                        });
        }
    });
}

void deployment::query(client_job& job, std::size_t index) {
    client_->send(make_call("GET", job.queue + job.id, index), [this, &job](const http_answer& a) {
        std::string state = job.state;
        if (a.status == 200) {
            const auto parsed = parse_json(a.body);
            state = parsed && parsed.value().is_object() ? parsed.value().value("state", "") : "";
        } else if (a.status == 410) {
            state = "unknown";
        }
        if (state != job.state) {
            ledger_.note("GET " + job.queue + job.id + " answered " + std::to_string(a.status) +
                         " " + state);
            job.state = state;
        }
    });
}

void deployment::cancel(client_job& job, std::size_t index) {
    job.cancelled = true;
    client_->send(
        make_call("DELETE", job.queue + job.id, index), [this, &job](const http_answer& a) {
            ledger_.note("DELETE " + job.queue + job.id + " answered " + std::to_string(a.status));
        });
}

void deployment::query_pending(const std::string& queue, std::size_t index,
                               std::function<void(int)> done) {
    client_->send(make_call("GET", queue, index),
                  [this, queue, index, done = std::move(done)](const http_answer& a) {
                      ledger_.note("GET " + queue + " at " + hosts_[index].name + " answered " +
                                   std::to_string(a.status) + " " + a.body);
                      const auto parsed = parse_json(a.body);
                      const bool valid = a.status == 200 && parsed && parsed.value().is_object();
                      done(valid ? parsed.value().value("pending", -1) : -1);
                  });
}

void deployment::poll_states(time_ms interval_ms) {
    loop_.every(interval_ms, [this] {
        ++next_host_;
        for (auto& job : jobs_) {
            if (job.accepted && !is_final(job.state)) {
                query(job, next_host_ % hosts_.size());
            }
        }
    });
}

int deployment::finish(const std::vector<std::string>& violations) {
    for (const auto& v : violations) {
        ledger_.note("RULE BROKEN: " + v);
        std::cout << "rule broken: " << v << '\n';
    }
    if (violations.empty()) {
        ledger_.note("the rule held");
        std::cout << "the rule held\n";
    }
    return violations.empty() ? 0 : 1;
}

bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

int run_case(int argc, char** argv,
             const std::function<int(const std::string& root, const std::string& record)>& body) {
    constexpr int could_not_run = 2;
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " ROOT RECORD_FILE\n";
        return could_not_run;
    }
    try {
        return body(argv[1], argv[2]);
    } catch (const std::exception& e) {
        std::cerr << "could not run: " << e.what() << '\n';
        return could_not_run;
    }
}

} // namespace fulmarworks::review
