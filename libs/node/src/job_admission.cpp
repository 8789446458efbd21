#include "job_admission.h"

#include <algorithm>

namespace fulmarworks::node {

namespace {

/** A single job may take this part of the memory for all jobs, 1/8. */
constexpr std::size_t largest_job_part = 8;

std::size_t reported_bytes(const job_backlog& reported, std::string_view account) {
    const auto found = std::find_if(reported.largest.begin(), reported.largest.end(),
                                    [&](const auto& entry) { return entry.name == account; });
    if (found != reported.largest.end()) {
        return found->bytes;
    }
    // An account that isn't listed has at most as much as the last one that is.
    const bool complete = reported.largest.size() < max_reported_accounts;
    return complete ? 0 : reported.largest.back().bytes;
}

} // namespace

job_backlog make_backlog(const scheduler::job_memory& memory, std::size_t min_bytes) {
    job_backlog backlog;
    if (memory.total < min_bytes) {
        return backlog;
    }
    backlog.total_bytes = memory.total;
    for (const auto& [name, bytes] : memory.by_account) {
        backlog.largest.push_back({name, bytes});
    }
    std::sort(backlog.largest.begin(), backlog.largest.end(),
              [](const auto& a, const auto& b) { return a.bytes > b.bytes; });
    if (backlog.largest.size() > max_reported_accounts) {
        backlog.largest.resize(max_reported_accounts);
    }
    return backlog;
}

job_admission::job_admission(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

std::size_t job_admission::recently_admitted(std::string_view account) const {
    std::size_t bytes = 0;
    for (const auto& job : recent_) {
        bytes += job.account == account ? job.bytes : 0;
    }
    return bytes;
}

admission job_admission::decide(const job_backlog& reported, std::string_view account,
                                std::size_t bytes, time_ms now_ms) {
    while (!recent_.empty() && now_ms - recent_.front().at_ms > report_delay_ms) {
        recent_bytes_ -= recent_.front().bytes;
        recent_.pop_front();
    }
    if (bytes > limit_bytes_ / largest_job_part) {
        return admission::too_large;
    }
    const std::size_t total = reported.total_bytes + recent_bytes_;
    const std::size_t free_bytes = limit_bytes_ - std::min(limit_bytes_, total);
    const std::size_t held = reported_bytes(reported, account) + recently_admitted(account);
    if (held + bytes > free_bytes) {
        return admission::backlog_full;
    }
    recent_.push_back({std::string(account), bytes, now_ms});
    recent_bytes_ += bytes;
    return admission::admitted;
}

} // namespace fulmarworks::node
