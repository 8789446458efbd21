#pragma once

#include "base/json.h"
#include "child_process.h"
#include "http/http_client.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fulmarworks {

/** Options of a test cluster. */
struct cluster_options {
    std::string config_file = std::string(EXAMPLES_DIR) + "/vormpulp.yaml";
    int instances = 3;
    /** Additional settings of every instance, as lines of YAML. */
    std::string extra_settings;
    /** Number of ports reserved for workers; at least the number of hosts in the configuration. */
    int worker_ports = 64;
    /** Additional command line options of the log stand-in. */
    std::vector<std::string> log_options;
};

/**
 * Runs instances and stand-ins for the platform as processes on the loopback interface, with a
 * fault-injecting proxy between each instance and the log service. The destructor kills all
 * processes and removes their files; FULMARWORKS_KEEP_LOGS in the environment keeps the files.
 */
class test_cluster {
public:
    explicit test_cluster(cluster_options options = {});
    ~test_cluster();
    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;

    /** Publishes the configuration; returns whether all instances applied it in time. */
    bool publish();

    /** Starts the process of instance `i`. Precondition: its previous process has exited. */
    void start_instance(int i);
    [[nodiscard]] child_process& instance(int i) { return *instances_[i]; }
    [[nodiscard]] const std::string& address(int i) const { return api_addresses_[i]; }
    /** IP:PORT on which instance `i` takes the connections of other instances. */
    [[nodiscard]] const std::string& peer_address(int i) const { return peer_addresses_[i]; }
    [[nodiscard]] int instance_count() const { return static_cast<int>(instances_.size()); }

    /** Sends a request to instance `i`; the status is 0 if it does not respond. */
    http_answer call(int i, const std::string& method, const std::string& target,
                     const json& body = nullptr, time_ms timeout_ms = 15000) const;

    /** Returns the number of appends that the log service has accepted. */
    [[nodiscard]] std::uint64_t log_appends() const;

    /** Returns the parsed body of a GET, or an empty object if it is missing or not JSON. */
    [[nodiscard]] json get(int i, const std::string& target) const;

    /** Injects or clears faults of the log service, of the proxy to it, or of workers. */
    void control_log(const json& command) const;
    void control_log_proxy(int instance, const json& command) const;
    void control_workers(const std::string& host_prefix, const std::string& fault) const;

    /** Returns all starts and ends of tasks on the workers. */
    [[nodiscard]] json worker_history() const;

    /** Waits until a condition holds; returns whether it did. */
    static bool wait_for(const std::function<bool()>& condition, time_ms limit_ms = 30000);

    /** Waits until an instance is ready with the given configuration version. */
    [[nodiscard]] bool wait_ready(int i, std::uint64_t config_version) const;

    /** Polls instance `i` until a job has ended or `limit_ms` has passed; returns its report. */
    [[nodiscard]] json wait_final(int i, const std::string& job, time_ms limit_ms = 30000) const;

    /** Waits until at least `count` hosts are up; returns whether they are. */
    [[nodiscard]] bool wait_hosts_up(int i, int count) const;

private:
    void start_standins();
    void write_settings(int i) const;
    [[nodiscard]] std::string file(const std::string& name) const;

    cluster_options options_;
    std::string directory_;
    std::string log_address_;
    std::string host_list_address_;
    std::vector<std::string> api_addresses_;
    std::vector<std::string> peer_addresses_;
    std::vector<std::string> proxy_addresses_;
    std::vector<std::string> proxy_controls_;
    std::vector<child_process> standins_;
    std::vector<std::unique_ptr<child_process>> instances_;
};

/** Returns the request body of a job submission. */
[[nodiscard]] json submission(const std::string& account, const std::string& id,
                              const std::string& job_class, int tasks, int accelerators,
                              time_ms run_ms, time_ms wait_ms = 0);

} // namespace fulmarworks
