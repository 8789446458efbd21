#pragma once

#include "base/time.h"
#include "scheduler/job_memory.h"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace fulmarworks::node {

/** Memory that accepted jobs take in the leader, as the leader reports it. */
struct job_backlog {
    struct account {
        std::string name;
        std::size_t bytes = 0;
    };

    std::size_t total_bytes = 0;
    /** Accounts with the most, at most `max_reported_accounts`, the largest first. */
    std::vector<account> largest;
};

inline constexpr std::size_t max_reported_accounts = 8;

/** Returns what a leader reports of its jobs; empty below `min_bytes`. Thread safe. */
[[nodiscard]] job_backlog make_backlog(const scheduler::job_memory& memory, std::size_t min_bytes);

enum class admission {
    admitted,
    too_large,    // could never be admitted
    backlog_full, // may be admitted later
};

/**
 * Decides which submissions a host accepts, so that accepted jobs never take more memory than a
 * leader has for them. Answers clients that submit large jobs, or many, faster than they end.
 *
 * An account may hold at most as much as is still free, the dynamic threshold of A. Choudhury and
 * E. Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches" (1998). One account
 * alone gets half of the memory, and some is left for each further one.
 *
 * Hosts decide each for itself. A host adds what it has admitted within `report_delay_ms` to what
 * the leader reported; the limit may be exceeded by what other hosts admit in that time. Not thread
 * safe.
 */
class job_admission {
public:
    /** `limit_bytes` is the memory for all accepted jobs. */
    explicit job_admission(std::size_t limit_bytes);

    /** Decides on a job of `bytes`, and remembers it if it is admitted. */
    [[nodiscard]] admission decide(const job_backlog& reported, std::string_view account,
                                   std::size_t bytes, time_ms now_ms);

    /** Time after which a leader's report contains what was admitted before. */
    static constexpr time_ms report_delay_ms = 3000;

private:
    struct admitted_job {
        std::string account;
        std::size_t bytes = 0;
        time_ms at_ms = 0;
    };

    [[nodiscard]] std::size_t recently_admitted(std::string_view account) const;

    std::size_t limit_bytes_;
    /** In the order of their times. */
    std::deque<admitted_job> recent_;
    std::size_t recent_bytes_ = 0;
};

} // namespace fulmarworks::node
