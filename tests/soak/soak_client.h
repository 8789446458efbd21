#pragma once

#include "http/http_client.h"
#include "rule_book.h"

#include <random>
#include <string>
#include <vector>

namespace fulmarworks::soak {

/** How often callers got which answer to a submission. */
using answer_counts = std::map<int, int>;

/**
 * Callers of the platform: they hand jobs in, repeat what got no verdict at another host, ask for
 * states, and cancel some jobs. Not thread safe.
 */
class soak_client {
public:
    /** Preconditions: all references outlive the client; `hosts` are caller addresses. */
    soak_client(event_loop& loop, rule_book& rules, std::vector<std::string> hosts,
                std::uint64_t seed);

    /** Hands a random job in; with `cancel`, gives it up soon after its acceptance. */
    void submit_random(bool cancel);

    /** Returns the number of accepted jobs that were not shown in a final state yet. */
    [[nodiscard]] std::size_t open_jobs() const;

    [[nodiscard]] const answer_counts& answers() const { return answers_; }

private:
    void submit(const std::string& id, int retries_left);
    void submitted(const std::string& id, int retries_left, const http_answer& answer);
    void ask(const std::string& id);
    void asked(const std::string& id, const http_answer& answer);
    void cancel(const std::string& id);
    [[nodiscard]] http_call make_call(const std::string& method, const std::string& id);
    [[nodiscard]] job_shape random_shape();
    [[nodiscard]] int pick(int low, int high);

    event_loop& loop_;
    rule_book& rules_;
    http_client http_;
    std::vector<std::string> hosts_;
    std::mt19937_64 random_;
    std::map<std::string, std::string> bodies_;
    std::map<std::string, std::string> queues_;
    std::map<std::string, bool> cancels_;
    answer_counts answers_;
};

/** Returns the operator's configuration for the queues that the clients use. */
[[nodiscard]] std::string soak_configuration();

} // namespace fulmarworks::soak
