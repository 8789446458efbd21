#pragma once

#include "base/json.h"
#include "child_process.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "soak_store.h"

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fulmarworks::review {

/** Arguments of a case: PROGRAM ENTRY_BINARY WORK_DIRECTORY RECORD_FILE TROUBLE. */
struct case_options {
    std::string binary;
    std::string directory;
    std::string record;
    bool trouble = true;
};

[[nodiscard]] case_options parse_options(int argc, char** argv);

/** Writes a line for each event, with the milliseconds since the start. */
class recorder {
public:
    explicit recorder(const std::string& file);
    void write(const std::string& line);
    [[nodiscard]] time_ms elapsed() const;

private:
    std::ofstream out_;
    time_ms started_at_;
};

struct resources {
    int cpu = 0;
    int mem_mb = 0;
    int gpu = 0;
};

/** What a task does. A client sends it as the `spec` of its job, one entry for each step. */
struct task_shape {
    int count = 1;
    resources need;
    time_ms run_ms = 1000;
    bool gang = false;
    /** Work between two checkpoints; 0 for none. */
    time_ms save_ms = 0;
    std::string label;
    std::string data_rack;
    /** Runs until it is stopped. */
    bool lasts = false;
};

[[nodiscard]] std::string job_body(const std::vector<task_shape>& steps);

/** One start that an executor carried out. */
struct started_run {
    std::string task;
    int run = 0;
    std::string executor;
    std::string checkpoint;
    time_ms at = 0;
    /** How it ended; empty while it goes on. */
    std::string end;
};

/** Members of one run of a gang, on all executors. */
struct gang_run {
    std::set<std::string> present;
    double progress_ms = 0;
    bool complete_once = false;
    bool broken = false;
    bool done = false;
};

struct platform {
    event_loop& loop;
    soak::soak_store& store;
    recorder& record;
    std::map<std::string, gang_run> gangs;
    std::vector<started_run> runs;
    /** Breaks of a rule that executors see. */
    std::vector<std::string> violations;
};

/** A stand-in for one executor, as the pages describe it. */
class executor {
public:
    executor(platform& p, std::string id, std::string address, std::string rack,
             resources capacity);

    /** Precondition: the executor has not started. */
    void set_service(const std::string& service) { service_ = service; }

    void start_life();
    /** Ends the life without a word: all runs are gone, connections are reset or refused. */
    void crash();
    void set_capacity(const resources& capacity) { capacity_ = capacity; }
    void set_label(const std::string& kind) { kind_ = kind; }
    void advance();

    [[nodiscard]] bool up() const { return server_ != nullptr; }
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::size_t active_runs() const { return active_.size(); }

private:
    struct active_run {
        std::string task;
        int run = 0;
        task_shape shape;
        double progress_ms = 0;
        time_ms stop_at = 0;
        time_ms started_at = 0;
        std::size_t index = 0;
        std::string first_checkpoint;
    };
    struct listed_end {
        std::uint64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        std::string saved;
    };
    struct held_poll {
        time_ms until = 0;
    };

    void handle(const http_request& request, std::uint64_t token);
    [[nodiscard]] http_response start(const json& order);
    [[nodiscard]] http_response stop(const json& order);
    void hold(const json& order, std::uint64_t token);
    [[nodiscard]] bool fenced(const json& order);
    void extend_lease(const json& order);
    [[nodiscard]] http_response lists() const;
    [[nodiscard]] std::string saved_of(const active_run& run, bool now) const;
    [[nodiscard]] gang_run* gang_of(const active_run& run) const;
    [[nodiscard]] std::string end_of(active_run& run);
    void finish(std::size_t position, const std::string& how);
    void write_entry();
    [[nodiscard]] time_ms clock() const;
    [[nodiscard]] http_response reply(int status, json body) const;

    platform& platform_;
    std::string id_;
    std::string address_;
    std::string rack_;
    std::string kind_ = "a";
    std::string service_ = "pool";
    resources capacity_;
    std::unique_ptr<http_server> server_;
    time_ms born_ = 0;
    time_ms life_started_at_ = 0;
    time_ms entry_written_at_ = 0;
    time_ms advanced_at_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t token_ = 0;
    time_ms lease_end_ = 0;
    std::uint64_t last_end_ = 0;
    std::vector<active_run> active_;
    std::vector<listed_end> ends_;
    std::map<std::string, int> closed_;
    std::map<std::uint64_t, held_poll> held_;
};

/** What a client knows of a job that it sent. */
struct client_job {
    std::string body;
    std::string prefix;
    std::string key;
    bool accepted = false;
    time_ms accepted_at = 0;
    /** As shown last: the name of the state, or the status of the answer. */
    std::string state;
};

/** A small deployment: a store, entry hosts, executors and one client. */
class deployment {
public:
    deployment(const case_options& options, int hosts, int executors, int per_rack);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /** Starts all, with version 1 of the configuration; returns false if the hosts don't get
     * ready. */
    [[nodiscard]] bool start(const std::string& bulk_service = "");
    void run_for(time_ms duration);
    bool run_until(const std::function<bool()>& done, time_ms limit);
    /** Returns whether a run of the task is at work on any executor. */
    [[nodiscard]] bool is_running(const std::string& task) const;
    /** Sends a job for a tenant, `key-a` (guaranteed 16 GPUs) or `key-b` (8). */
    void submit(const std::string& id, const std::string& prefix, const std::string& body,
                const std::string& key = "key-a");
    /** Writes a version of the configuration in which a service has the queues /urgent/, /normal/
     * and, unless another service is named for it, /bulk/. */
    void configure(int version, const std::string& service, const std::string& bulk_service = "");
    /** Asks for the states of all accepted jobs every 300 ms from now on. */
    void watch_states();
    [[nodiscard]] bool all_accepted() const;

    event_loop loop;
    recorder record;
    soak::soak_store store;
    platform world;
    std::vector<std::unique_ptr<executor>> executors;
    std::map<std::string, client_job> jobs;

private:
    void send(const std::string& id, int retries);
    void ask(const std::string& id);
    [[nodiscard]] std::string some_host();

    case_options options_;
    std::unique_ptr<http_client> http_;
    int host_count_ = 0;
    int first_port_ = 0;
    std::size_t next_host_ = 0;
    std::vector<std::unique_ptr<child_process>> processes_;
};

} // namespace fulmarworks::review
