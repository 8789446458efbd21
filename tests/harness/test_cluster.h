#pragma once

#include "base/json.h"
#include "child_process.h"
#include "http/http_client.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fulmarworks {

/** How a test cluster is set up. */
struct cluster_options {
    std::string config_file = std::string(EXAMPLES_DIR) + "/vormpulp.yaml";
    int instances = 3;
    /** Further settings of every instance, as lines of YAML. */
    std::string extra_settings;
    /** At least the number of workers. */
    int worker_ports = 64;
    /** Options of the log stand-in. */
    std::vector<std::string> log_options;
};

/**
 * Stand-ins and instances as real processes on loopback, with a proxy between each instance and
 * the log service. Everything is killed and removed when it goes out of scope.
 */
class test_cluster {
public:
    explicit test_cluster(cluster_options options = {});
    ~test_cluster();
    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;

    /** Publishes the configuration of the options; returns whether it was accepted. */
    bool publish();

    /** Starts instance `i` anew; its old process must have ended. */
    void start_instance(int i);
    [[nodiscard]] child_process& instance(int i) { return *instances_[i]; }
    [[nodiscard]] const std::string& address(int i) const { return api_addresses_[i]; }
    [[nodiscard]] int instance_count() const { return static_cast<int>(instances_.size()); }

    /** Calls instance `i`; status 0 if it does not answer. */
    http_answer call(int i, const std::string& method, const std::string& target,
                     const json& body = nullptr, time_ms timeout_ms = 15000) const;

    /** Returns how many appends the log service has taken. */
    [[nodiscard]] std::uint64_t log_appends() const;

    /** Parsed body of a GET; an empty object if there was no answer. */
    [[nodiscard]] json get(int i, const std::string& target) const;

    /** Changes how the log service, a proxy to it, or workers behave. */
    void control_log(const json& command) const;
    void control_log_proxy(int instance, const json& command) const;
    void control_workers(const std::string& host_prefix, const std::string& fault) const;

    /** Everything that the workers started and ended. */
    [[nodiscard]] json worker_history() const;

    /** Waits until a condition holds; returns whether it did. */
    static bool wait_for(const std::function<bool()>& condition, time_ms limit_ms = 30000);

    /** Waits until an instance is ready with the given configuration version. */
    [[nodiscard]] bool wait_ready(int i, std::uint64_t config_version) const;

    /** Waits until a job has ended, asking instance `i`; returns its report. */
    [[nodiscard]] json wait_final(int i, const std::string& job, time_ms limit_ms = 30000) const;

    /** Waits until hosts are up; returns whether at least `count` are. */
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

/** Returns a submission body. */
[[nodiscard]] json submission(const std::string& account, const std::string& id,
                              const std::string& job_class, int tasks, int accelerators,
                              time_ms run_ms, time_ms wait_ms = 0);

} // namespace fulmarworks
