#include "test_cluster.h"

#include "free_ports.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace fulmarworks {

namespace {

std::string loopback(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

json parsed_object(const http_answer& answer) {
    const auto parsed = parse_json(answer.body);
    return parsed ? parsed.value() : json::object();
}

} // namespace

test_cluster::test_cluster(cluster_options options) : options_(std::move(options)) {
    std::string pattern = std::filesystem::temp_directory_path().string() + "/fulmarworks-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    directory_ = pattern;
    const int port = find_free_ports(2 + 4 * options_.instances);
    log_address_ = loopback(port);
    host_list_address_ = loopback(port + 1);
    for (int i = 0; i < options_.instances; ++i) {
        api_addresses_.push_back(loopback(port + 2 + 4 * i));
        peer_addresses_.push_back(loopback(port + 3 + 4 * i));
        proxy_addresses_.push_back(loopback(port + 4 + 4 * i));
        proxy_controls_.push_back(loopback(port + 5 + 4 * i));
    }
    start_standins();
    instances_.resize(options_.instances);
    for (int i = 0; i < options_.instances; ++i) {
        start_instance(i);
    }
}

test_cluster::~test_cluster() {
    instances_.clear();
    standins_.clear();
    if (std::getenv("FULMARWORKS_KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(directory_);
    }
}

std::string test_cluster::file(const std::string& name) const {
    return directory_ + "/" + name;
}

void test_cluster::start_standins() {
    std::vector<std::string> log = {STANDIN_BINARY, "log", "--address", log_address_};
    log.insert(log.end(), options_.log_options.begin(), options_.log_options.end());
    standins_.emplace_back(log, file("log.txt"));
    const std::string first_port = std::to_string(find_free_ports(options_.worker_ports));
    standins_.emplace_back(std::vector<std::string>{STANDIN_BINARY, "fleet", "--config",
                                                    options_.config_file, "--address",
                                                    host_list_address_, "--first-port", first_port},
                           file("fleet.txt"));
    for (int i = 0; i < options_.instances; ++i) {
        standins_.emplace_back(
            std::vector<std::string>{STANDIN_BINARY, "proxy", "--address", proxy_addresses_[i],
                                     "--target", log_address_, "--control", proxy_controls_[i]},
            file("proxy" + std::to_string(i) + ".txt"));
    }
}

void test_cluster::write_settings(int i) const {
    const auto name = "instance-" + std::to_string(i);
    std::ofstream settings(file(name + ".yaml"));
    settings << "name: " << name << "\nfailure_domain: gent-a\n"
             << "api_address: " << api_addresses_[i] << "\npeer_address: " << peer_addresses_[i]
             << "\nlog_address: " << proxy_addresses_[i]
             << "\nhost_list_address: " << host_list_address_ << "\n"
             << options_.extra_settings;
}

void test_cluster::start_instance(int i) {
    write_settings(i);
    const std::string name = "instance-" + std::to_string(i);
    instances_[i] = std::make_unique<child_process>(
        std::vector<std::string>{FULMARWORKS_BINARY, "serve", "--settings", file(name + ".yaml")},
        file(name + ".txt"));
}

bool test_cluster::publish() {
    if (!wait_ready(0, 0)) {
        return false;
    }
    const child_process run(std::vector<std::string>{FULMARWORKS_BINARY, "publish",
                                                     options_.config_file, "--address",
                                                     api_addresses_[0]},
                            file("publish.txt"));
    for (int i = 0; i < options_.instances; ++i) {
        if (!wait_ready(i, 1)) {
            return false;
        }
    }
    return true;
}

http_answer test_cluster::call(int i, const std::string& method, const std::string& target,
                               const json& body, time_ms timeout_ms) const {
    return call_and_wait({method, api_addresses_[i], target,
                          body.is_null() ? std::string() : body.dump(), timeout_ms});
}

json test_cluster::get(int i, const std::string& target) const {
    return parsed_object(call(i, "GET", target));
}

void test_cluster::control_log(const json& command) const {
    (void)call_and_wait({"POST", log_address_, "/control", command.dump(), 5000});
}

std::uint64_t test_cluster::log_appends() const {
    const json state = parsed_object(call_and_wait({"POST", log_address_, "/control", "{}", 5000}));
    return state.value("appends", std::uint64_t{0});
}

void test_cluster::control_log_proxy(int instance, const json& command) const {
    (void)call_and_wait({"POST", proxy_controls_[instance], "/control", command.dump(), 5000});
}

void test_cluster::control_workers(const std::string& host_prefix, const std::string& fault) const {
    const json command = {{"host", host_prefix}, {"fault", fault}};
    (void)call_and_wait({"POST", host_list_address_, "/control", command.dump(), 5000});
}

json test_cluster::worker_history() const {
    return parsed_object(call_and_wait({"GET", host_list_address_, "/history", "", 10000}));
}

bool test_cluster::wait_for(const std::function<bool()>& condition, time_ms limit_ms) {
    const time_ms end = monotonic_now() + limit_ms;
    constexpr useconds_t pause_us = 20000;
    while (!condition()) {
        if (monotonic_now() >= end) {
            return false;
        }
        usleep(pause_us);
    }
    return true;
}

bool test_cluster::wait_ready(int i, std::uint64_t config_version) const {
    return wait_for([&] {
        const json state = get(i, "/v1/state");
        return state.value("ready", false) &&
               state.value("config_version", std::uint64_t{0}) >= config_version;
    });
}

json test_cluster::wait_final(int i, const std::string& job, time_ms limit_ms) const {
    json report;
    wait_for(
        [&] {
            report = get(i, "/v1/jobs/" + job + "?wait_ms=1000");
            return report.value("final_outcome", false);
        },
        limit_ms);
    return report;
}

bool test_cluster::wait_hosts_up(int i, int count) const {
    return wait_for([&] {
        int up = 0;
        const json listed = get(i, "/v1/hosts");
        for (const auto& h : listed.value("hosts", json::array())) {
            up += h.value("status", "") == "up" ? 1 : 0;
        }
        return up >= count;
    });
}

json submission(const std::string& account, const std::string& id, const std::string& job_class,
                int tasks, int accelerators, time_ms run_ms, time_ms wait_ms) {
    const json payload = {{"run_ms", run_ms}};
    return json{{"client_account", account},
                {"request_id", id},
                {"job_class", job_class},
                {"tasks", tasks},
                {"accelerators", accelerators},
                {"cores", 4},
                {"memory_gb", 8},
                {"declared_ms", run_ms},
                {"payload", payload.dump()},
                {"wait_ms", wait_ms}};
}

} // namespace fulmarworks
