#pragma once

#include "child_process.h"
#include "executor.h"
#include "http/http_client.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace fulmarworks::review {

/** A queue of the operator's configuration. */
struct queue_settings {
    std::string path_prefix;
    int priority = 1;
    int max_attempts = 3;
};

struct deployment_settings {
    /** Root of the repository, in which the programs run. */
    std::string root;
    std::string record_file;
    int entry_hosts = 3;
    /** Link of an entry host. */
    double link_mbps = 1000;
    std::vector<queue_settings> queues;
    /** Executors; ids and addresses are assigned. */
    std::vector<executor_settings> executors;
};

/** A submitted job, as its client knows it. */
struct client_job {
    std::string id;
    std::string queue;
    std::string body;
    bool accepted = false;
    time_ms accepted_at = 0;
    bool cancelled = false;
    std::function<void()> on_accepted;
    /** State of the latest answer; empty before the first, `unknown` after a 410. */
    std::string state;
};

/**
 * A small deployment on loopback: the project's entry hosts as separate processes, started as the
 * deploy file says, with stand-ins for the platform's store and executors, and a client.
 *
 * All stand-ins run on the event loop of this process. Not thread safe.
 */
class deployment {
public:
    explicit deployment(deployment_settings settings);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /** Runs the loop for `duration_ms`. */
    void run_for(time_ms duration_ms);
    /** Runs the loop until `done` or the limit; returns the last value of `done`. */
    bool run_until(const std::function<bool()>& done, time_ms limit_ms);
    /** Calls `action` after a delay, while the loop runs. */
    void after(time_ms delay_ms, std::function<void()> action);

    /** Waits until all entry hosts report that they are ready. */
    bool wait_until_ready(time_ms limit_ms);

    /** Submits a job at a host, and again with the same id after a refusal or without an answer. */
    client_job& submit(const std::string& queue, const json& body);
    /** The same, at a given host; `on_accepted` is called with the answer that accepts the job. */
    client_job& submit_at(std::size_t host, const std::string& queue, const json& body,
                          std::function<void()> on_accepted = nullptr);
    void query(client_job& job, std::size_t host);
    void cancel(client_job& job, std::size_t host);
    /** Asks a host for the number of pending jobs of a queue; -1 if it gave none. */
    void query_pending(const std::string& queue, std::size_t host, std::function<void(int)> done);
    /** Asks for the state of every unfinished job at intervals, at the hosts in turn. */
    void poll_states(time_ms interval_ms);

    void start_host(std::size_t host);
    void signal_host(std::size_t host, int number);
    /** Kills a host's process and reaps it. */
    void kill_host(std::size_t host);
    /** Returns the index of the host whose lease record is the newest. */
    [[nodiscard]] std::size_t leader() const;

    [[nodiscard]] std::vector<executor>& executors() { return executors_; }
    [[nodiscard]] soak::soak_store& store() { return store_; }
    [[nodiscard]] run_ledger& ledger() { return ledger_; }
    [[nodiscard]] std::deque<client_job>& jobs() { return jobs_; }

    /** Writes the result to the record and returns the exit code of the script. */
    int finish(const std::vector<std::string>& violations);

private:
    struct host {
        std::string name;
        std::string settings_file;
        std::string caller_address;
        std::string readiness_address;
        std::string internal_address;
        std::unique_ptr<child_process> process;
    };

    void write_settings(std::size_t index, int first_port);
    void send_submission(client_job& job, std::size_t host, int attempts_left);
    [[nodiscard]] http_call make_call(const std::string& method, const std::string& target,
                                      std::size_t host) const;

    deployment_settings settings_;
    event_loop loop_;
    run_ledger ledger_;
    soak::soak_store store_;
    gang_members gangs_;
    std::string directory_;
    std::string store_address_;
    std::vector<std::string> command_;
    std::vector<executor> executors_;
    std::vector<host> hosts_;
    std::unique_ptr<http_client> client_;
    std::deque<client_job> jobs_;
    std::size_t next_host_ = 0;
};

/** Returns whether the case runs with its disruption (variable TROUBLE isn't 0). */
[[nodiscard]] bool with_trouble();

/** Runs a case: `main` with the arguments ROOT RECORD_FILE; exits with 2 if it couldn't run. */
int run_case(int argc, char** argv,
             const std::function<int(const std::string& root, const std::string& record)>& body);

} // namespace fulmarworks::review
