#pragma once

#include "coordinator_fixture.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fulmarworks::scheduler {

/**
 * Drives a coordinator with random jobs and with workers that are restarted, leave, and lose orders
 * and answers. The same seed gives the same history.
 */
class random_cluster {
public:
    explicit random_cluster(unsigned seed);

    /** Divides the workers between two pools, and lets the configuration change at random steps. */
    void change_queues();

    /** Triggers one random event, then answers some of the outstanding orders and polls. */
    void step();

    [[nodiscard]] coordinator_fixture& fixture() { return fixture_; }

private:
    struct simulated_worker {
        time_ms started_wall_ms = 1;
        std::uint64_t next_end_sequence = 1;
        std::vector<active_run> active;
        std::vector<ended_run> ended;
        /** No call reaches the worker, but its runs continue. */
        bool partitioned = false;
    };

    int random_below(int below);
    bool chance(int percent) { return random_below(100) < percent; }
    std::string random_worker_id() { return "w" + std::to_string(random_below(worker_count)); }

    void publish_random_queue();
    void report_worker(const std::string& id);
    void submit_random_job();
    void cancel_random_job();
    void end_random_run();
    void restart_worker(const std::string& id);
    void answer_outstanding_calls();
    void answer(const send_start& order);
    void answer(const send_stop& order);
    void answer(const send_poll& order);
    void end_run(simulated_worker& w, std::size_t index, end_reason reason);

    static constexpr int worker_count = 12;
    static constexpr int rack_size = 4;

    std::mt19937 random_;
    coordinator_fixture fixture_;
    std::map<std::string, simulated_worker> workers_;
    int next_job_ = 0;
    /** Null while the configuration doesn't change. Separate, so that the other events of a seed
     * are the same with and without changes. */
    std::optional<std::mt19937> queue_random_;
    std::uint64_t configuration_version_ = 0;
};

} // namespace fulmarworks::scheduler
