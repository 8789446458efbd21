#pragma once

#include "http/http_client.h"
#include "invariant_checker.h"

#include <random>
#include <string>
#include <vector>

namespace fulmarworks::soak {

/** Number of answers to submissions, by HTTP status. */
using answer_counts = std::map<int, int>;

/**
 * Callers of the platform. They submit jobs, retry those that were not accepted, poll job states,
 * and cancel some jobs. Each call goes to a random host. Not thread safe.
 */
class soak_client {
public:
    /**
     * Preconditions: all references outlive the client; `hosts` holds the caller address of at
     * least one entry host.
     */
    soak_client(event_loop& loop, invariant_checker& checker, std::vector<std::string> hosts,
                std::uint64_t seed);

    /** Lets one in `interval` jobs have a task that crashes its workers; 0 lets none. */
    void set_crashing_job_interval(std::size_t interval) { crashing_job_interval_ = interval; }

    /** Submits a random job. With `cancel`, cancels it soon after its acceptance. */
    void submit_random(bool cancel);

    /** Returns the number of accepted jobs that have not yet been shown in a final state. */
    [[nodiscard]] std::size_t unfinished_jobs() const;

    /** Returns whether any of them has no task that crashes its workers. */
    [[nodiscard]] bool has_unfinished_sound_job() const;

    [[nodiscard]] const answer_counts& answers() const { return answers_; }

private:
    void submit(const std::string& id, int retries_left);
    void handle_submit_answer(const std::string& id, int retries_left, const http_answer& answer);
    void query_state(const std::string& id);
    void handle_state_answer(const std::string& id, const http_answer& answer);
    void cancel(const std::string& id);
    [[nodiscard]] http_call make_call(const std::string& method, const std::string& id);
    [[nodiscard]] job_shape random_shape();
    [[nodiscard]] int random_between(int low, int high);

    event_loop& loop_;
    invariant_checker& checker_;
    http_client http_;
    std::vector<std::string> hosts_;
    std::mt19937_64 random_;
    std::map<std::string, std::string> bodies_;
    std::map<std::string, std::string> queues_;
    std::map<std::string, bool> cancels_;
    answer_counts answers_;
    std::size_t crashing_job_interval_ = 0;
};

/** Returns the operator's configuration of the queues that the clients use. */
[[nodiscard]] std::string soak_configuration();

} // namespace fulmarworks::soak
