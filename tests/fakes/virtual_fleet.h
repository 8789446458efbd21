#pragma once

#include "fake_worker.h"
#include "instance/reduce.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>

namespace fulmarworks {

/** Probabilities and delays of message faults in one run. */
struct fault_rates {
    /** Probability that a message to or from a worker, a peer or the log is lost. */
    double loss = 0;
    double duplication = 0;
    time_ms min_delay_ms = 1;
    time_ms max_delay_ms = 5;
};

/**
 * Deterministic simulation of several instance reducers, one log and fake workers on a virtual
 * clock. Turns the effects of the reducers into messages that a seeded random generator delays,
 * loses or duplicates, so that the same seed reproduces the same run. Not thread safe.
 */
class virtual_fleet {
public:
    virtual_fleet(std::uint32_t seed, int instances, std::string config_document);

    /** Processes the events of the next `duration_ms` of virtual time. */
    void run_for(time_ms duration_ms);

    /** Processes events until `condition` holds or `limit_ms` has passed; returns the condition. */
    bool run_until(const std::function<bool()>& condition, time_ms limit_ms);

    void set_faults(fault_rates rates) { rates_ = rates; }
    void set_log_down(bool down) { log_down_ = down; }
    /** Sets whether appends take effect while their responses are lost. */
    void lose_append_answers(bool lose) { lose_append_answers_ = lose; }
    /** Sets whether messages between instances are dropped. */
    void cut_peers(bool cut) { peers_cut_ = cut; }
    [[nodiscard]] std::size_t log_size() const { return log_.size(); }
    /** Drops all but the newest `keep` records, but none that the snapshot does not cover. */
    void trim_log(std::size_t keep);

    void crash_instance(int i);
    /** Precondition: the instance was crashed. */
    void restart_instance(int i);
    /** Pauses or resumes an instance. A paused instance queues its events until it resumes. */
    void pause_instance(int i, bool paused);
    void shut_down_instance(int i);
    [[nodiscard]] bool is_running(int i) const { return nodes_[i].running; }

    void restart_worker(const std::string& host);
    void set_worker_reachable(const std::string& host, bool reachable);
    fake_worker& worker(const std::string& host) { return *workers_.at(host).worker; }
    [[nodiscard]] std::vector<std::string> hosts() const;

    /** Publishes the configuration and waits for all hosts; returns whether they are all up. */
    bool set_up();

    caller_token submit(int i, job_request request, time_ms wait_ms = 0);
    caller_token cancel(int i, const std::string& job_id);
    caller_token publish(int i, const std::string& id, std::uint64_t based_on,
                         const std::string& document);

    /** Returns the replies that callers have received, by token. */
    [[nodiscard]] const std::map<caller_token, reply>& replies() const { return replies_; }
    [[nodiscard]] const instance_state& state(int i) const { return nodes_[i].state; }
    [[nodiscard]] int instance_count() const { return static_cast<int>(nodes_.size()); }
    [[nodiscard]] const std::vector<history_entry>& history() const { return history_; }
    [[nodiscard]] time_ms now() const { return now_; }
    [[nodiscard]] std::mt19937& random() { return random_; }

    /** Returns the state rebuilt from the log and, once trimmed, the snapshot. */
    [[nodiscard]] ledger_state fold_log() const;

private:
    struct node {
        instance_state state;
        bool running = false;
        bool paused = false;
        /** Incremented by starts and crashes; events for an earlier generation are dropped. */
        int generation = 0;
        std::vector<event> queued_events;
    };

    struct worker_node {
        std::unique_ptr<fake_worker> worker;
        bool reachable = true;
    };

    struct scheduled_event {
        time_ms at = 0;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator>(const scheduled_event& other) const {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    struct pending_read {
        int instance = 0;
        int generation = 0;
        std::uint64_t from = 0;
        std::uint64_t id = 0;
    };

    void at(time_ms when, std::function<void()> action);
    /** Schedules no, one or two deliveries of a message, as the fault rates determine. */
    void transmit(std::function<void()> action);
    [[nodiscard]] time_ms delay();
    [[nodiscard]] bool chance(double probability);

    void deliver(int i, int generation, event e);
    void handle(int i, const event& e);
    void tick_instance(int i, int generation);
    void tick_workers();

    void perform(int i, const load_snapshot& e);
    void perform(int i, const read_log& e);
    void perform(int i, const append_batch& e);
    void perform(int i, const write_snapshot& e);
    void perform(int i, const read_host_list& e);
    void perform(int i, const poll_worker& e);
    void perform(int i, const send_order& e);
    void perform(int i, const request_power& e);
    void perform(int i, const announce& e);
    void perform(int i, const reply& e);
    void perform(int i, const exit_process& e);

    void serve_read(const pending_read& reader, bool may_wait);
    void wake_readers();
    void call_worker(int i, const std::string& host, bool was_poll,
                     std::function<bool(fake_worker&)> action);

    std::mt19937 random_;
    std::string config_document_;
    fault_rates rates_;
    bool log_down_ = false;
    bool lose_append_answers_ = false;
    bool peers_cut_ = false;
    time_ms now_ = 0;
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, std::greater<>> events_;
    std::vector<node> nodes_;
    std::map<std::string, worker_node> workers_;
    std::vector<history_entry> history_;
    std::vector<std::string> log_;
    std::uint64_t log_first_ = 0;
    std::string snapshot_;
    std::uint64_t snapshot_offset_ = 0;
    std::map<std::uint64_t, pending_read> readers_;
    std::map<caller_token, reply> replies_;
    caller_token next_token_ = 1;
    std::uint64_t next_incarnation_ = 1;
};

} // namespace fulmarworks
