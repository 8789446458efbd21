#pragma once

#include "executor.h"
#include "http/http_client.h"

#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fulmarworks::review {

/** An entry host: a process of the project, started with the command of the deploy file. */
struct entry_process {
    std::string name;
    std::string caller_address;
    std::string settings_file;
    std::string log_file;
    pid_t id = -1;
};

struct client_answer {
    int status = 0;
    std::string body;
};

/** A small deployment on loopback: the platform's store, executors and entry hosts. */
class deployment {
public:
    /** `directory` is for settings and logs of the processes. */
    deployment(record& log, std::string directory, int hosts);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /** Adds an executor, which isn't started. */
    executor& add_executor(executor_options options);
    void start_host(std::size_t index);
    void signal_host(std::size_t index, int number);
    /** Ends a host's process and waits for it. */
    void kill_host(std::size_t index);
    /** Returns the host that last wrote to the store under a condition. */
    [[nodiscard]] std::size_t leader() const;

    void publish_configuration();
    /** Waits until all hosts are ready and the executors were looked at. */
    bool wait_until_ready(time_ms limit_ms);
    void run_for(time_ms duration_ms);
    bool run_until(const std::function<bool()>& done, time_ms limit_ms) {
        return loop_.run_until(done, limit_ms);
    }

    /** Sends a call to a host. */
    void send(std::size_t host, const std::string& method, const std::string& path,
              const std::string& body, std::function<void(const client_answer&)> done);
    client_answer call(std::size_t host, const std::string& method, const std::string& path,
                       const std::string& body = "");
    /** Hands a job in, at one host after the other, until it is accepted. */
    bool submit(const std::string& path, const std::string& body);
    /** Returns the state of a job, from one host after the other; empty if none answers. */
    std::string state_of(const std::string& path);

    [[nodiscard]] event_loop& loop() { return loop_; }
    [[nodiscard]] soak::soak_store& store() { return store_; }
    [[nodiscard]] std::size_t host_count() const { return hosts_.size(); }
    [[nodiscard]] executor& at(std::size_t index) { return *executors_[index]; }
    [[nodiscard]] std::size_t executor_count() const { return executors_.size(); }

    /** Returns the address for the next executor. */
    std::string next_address();

private:
    event_loop loop_;
    record& log_;
    std::string directory_;
    soak::soak_store store_;
    gang_runs gangs_;
    http_client http_;
    int first_port_ = 0;
    int next_port_ = 0;
    std::vector<entry_process> hosts_;
    std::vector<std::unique_ptr<executor>> executors_;
    std::size_t next_host_ = 0;
};

} // namespace fulmarworks::review
