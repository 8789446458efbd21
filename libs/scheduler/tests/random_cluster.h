#pragma once

#include "coordinator_fixture.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace fulmarworks::scheduler {

/**
 * A coordinator with workers that restart, leave, lose orders and answers, and jobs of all shapes.
 * The same seed gives the same history.
 */
class random_cluster {
public:
    explicit random_cluster(unsigned seed);

    /** Lets one thing happen, then answers some of the orders and polls that are open. */
    void step();

    [[nodiscard]] coordinator_fixture& fixture() { return fixture_; }

private:
    struct life {
        time_ms started_wall_ms = 1;
        std::uint64_t next_end = 1;
        std::vector<active_run> active;
        std::vector<ended_run> ended;
        /** No call reaches the worker, which goes on with its runs. */
        bool cut_off = false;
    };

    int pick(int below);
    bool chance(int percent) { return pick(100) < percent; }
    std::string any_worker() { return "w" + std::to_string(pick(worker_count)); }

    void report(const std::string& id);
    void submit();
    void cancel_any();
    void end_any_run();
    void restart(const std::string& id);
    void answer_open_calls();
    void answer(const send_start& order);
    void answer(const send_stop& order);
    void answer(const send_poll& order);
    void end_run(life& l, std::size_t index, end_reason reason);

    static constexpr int worker_count = 12;
    static constexpr int rack_size = 4;

    std::mt19937 random_;
    coordinator_fixture fixture_;
    std::map<std::string, life> lives_;
    int next_job_ = 0;
};

} // namespace fulmarworks::scheduler
