#include "deployment.h"

#include "free_ports.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fulmarworks::review {

namespace {

constexpr int ports = 80;
constexpr const char* api_key = "d4a3hwrr6x73d3zji9n7";
constexpr const char* host_name = "jobs.example";

std::string loopback(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

json route(const char* name, const char* prefix, int priority, double slack) {
    return {{"name", name},         {"host", host_name},
            {"pathPrefix", prefix}, {"type", "non_idempotent"},
            {"timeoutMs", 3000},    {"targetLatencyMs", 1000},
            {"priority", priority}, {"service", "svc1"},
            {"maxAttempts", 3},     {"slackFactor", slack},
            {"public", false}};
}

} // namespace

deployment::deployment(record& log, std::string directory, int hosts)
    : log_(log), directory_(std::move(directory)), store_(loop_), http_(loop_),
      first_port_(find_free_ports(ports)), next_port_(first_port_ + 1 + hosts * 3) {
    const std::string store_address = loopback(first_port_);
    if (const auto listening = store_.listen(store_address); !listening) {
        throw std::runtime_error(describe(listening.error()));
    }
    for (int i = 0; i < hosts; ++i) {
        entry_process host;
        const int port = first_port_ + 1 + 3 * i;
        host.name = "client_facing-z1-" + std::to_string(i + 1);
        host.caller_address = loopback(port);
        host.settings_file = directory_ + "/" + host.name + ".yaml";
        host.log_file = directory_ + "/" + host.name + ".log";
        std::ofstream(host.settings_file)
            << "name: " << host.name
            << "\nfailure_domain: z1\nip: 127.0.0.1\ncaller_address: " << host.caller_address
            << "\nreadiness_address: " << loopback(port + 1) << "\ninternal_port: " << port + 2
            << "\nstore_address: " << store_address
            << "\nstore_partitions: 24\ncpu_share: 0.5\nlink_mbps: 200.0\nmemory_mb: 512\n"
               "max_open_files: 8192\nstop_grace_s: 6\nconfiguration_bound_ms: 3000\n"
               "max_lease_ms: 6000\nheartbeat_ms: 1500\nstop_timeout_ms: 900\nreclaim_ms: 3400\n"
               "remote_factor: 3\nstatus_retention_s: 120\n";
        hosts_.push_back(std::move(host));
    }
}

deployment::~deployment() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        kill_host(i);
    }
}

std::string deployment::next_address() {
    return loopback(next_port_++);
}

executor& deployment::add_executor(executor_options options) {
    if (options.address.empty()) {
        options.address = next_address();
    }
    executors_.push_back(
        std::make_unique<executor>(loop_, store_, log_, gangs_, std::move(options)));
    return *executors_.back();
}

void deployment::start_host(std::size_t index) {
    entry_process& host = hosts_[index];
    const pid_t child = fork();
    if (child == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(host.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        for (int descriptor = 3; descriptor < 4096; ++descriptor) {
            close(descriptor);
        }
        setenv("FULMARWORKS_CONFIG", host.settings_file.c_str(), 1);
        setenv("DRAIN_BOUND_MS", "3000", 1);
        execl("target/fulmarworks/fulmarworks", "target/fulmarworks/fulmarworks", "entry",
              static_cast<char*>(nullptr));
        _exit(127);
    }
    host.id = child;
}

void deployment::signal_host(std::size_t index, int number) {
    log_.note("signal " + std::to_string(number) + " to " + hosts_[index].name);
    kill(hosts_[index].id, number);
}

void deployment::kill_host(std::size_t index) {
    if (hosts_[index].id > 0) {
        kill(hosts_[index].id, SIGCONT);
        kill(hosts_[index].id, SIGKILL);
        waitpid(hosts_[index].id, nullptr, 0);
        hosts_[index].id = -1;
    }
}

std::size_t deployment::leader() const {
    const auto lease = store_.newest_of("keyed.leadership", "leader");
    const auto parsed = parse_json(lease.value_or("{}"));
    const std::string name = parsed ? parsed.value().value("name", "") : "";
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i].name == name) {
            return i;
        }
    }
    return hosts_.size();
}

void deployment::publish_configuration() {
    const json document = {
        {"version", 3},
        {"routes", {route("urgent", "/urgent/", 0, 1.5), route("batch", "/batch/", 2, 3.0)}},
        {"services", {{{"name", "svc1"}, {"healthPath", "/healthz"}, {"enforcesCapacity", false}}}},
        {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}}},
        {"tenants", {{{"name", "tenant1"}, {"apiKeys", {api_key}}, {"guaranteed", {{"gpu", 8}}}}}}};
    store_.put("keyed.op", "config", document.dump());
}

bool deployment::wait_until_ready(time_ms limit_ms) {
    const time_ms end = monotonic_now() + limit_ms;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        while (call(i, "GET", "/batch/").status != 200) {
            if (monotonic_now() > end) {
                return false;
            }
            run_for(100);
        }
    }
    run_for(1500);
    return true;
}

void deployment::run_for(time_ms duration_ms) {
    const time_ms end = monotonic_now() + duration_ms;
    (void)loop_.run_until([end] { return monotonic_now() >= end; }, duration_ms + 1000);
}

void deployment::send(std::size_t host, const std::string& method, const std::string& path,
                      const std::string& body, std::function<void(const client_answer&)> done) {
    http_call call;
    call.method = method;
    call.address = hosts_[host].caller_address;
    call.target = path;
    call.body = body;
    call.timeout_ms = 3000;
    call.headers = {{"Host", host_name},
                    {"X-Api-Key", api_key},
                    {"X-Fulmarworks-Deadline-Ms", "3000"},
                    {"Content-Type", "application/json"}};
    const std::string what = method + " " + path + " at " + hosts_[host].name;
    log_.note("client sends " + what + (body.empty() ? "" : " " + body));
    http_.send(call, [this, what, done = std::move(done)](const http_answer& answer) {
        log_.note("client gets " + std::to_string(answer.status) + " " + answer.body + " for " +
                  what);
        done({answer.status, answer.body});
    });
}

client_answer deployment::call(std::size_t host, const std::string& method, const std::string& path,
                               const std::string& body) {
    auto result = std::make_shared<std::optional<client_answer>>();
    send(host, method, path, body, [result](const client_answer& a) { *result = a; });
    (void)loop_.run_until([result] { return result->has_value(); }, 10000);
    return result->value_or(client_answer{});
}

bool deployment::submit(const std::string& path, const std::string& body) {
    for (int attempt = 0; attempt < 20; ++attempt) {
        const client_answer answer = call(next_host_++ % hosts_.size(), "POST", path, body);
        if (answer.status / 100 == 2) {
            return true;
        }
        run_for(300);
    }
    return false;
}

std::string deployment::state_of(const std::string& path) {
    for (int attempt = 0; attempt < 10; ++attempt) {
        const client_answer answer = call(next_host_++ % hosts_.size(), "GET", path);
        if (answer.status == 410) {
            return "410";
        }
        const auto parsed = parse_json(answer.body);
        if (answer.status == 200 && parsed) {
            return parsed.value().value("state", "");
        }
        run_for(300);
    }
    return "";
}

} // namespace fulmarworks::review
