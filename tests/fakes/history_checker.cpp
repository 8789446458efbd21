#include "history_checker.h"

#include <set>

namespace fulmarworks {

namespace {

struct starts_of_job {
    /** Members started, by attempt. */
    std::map<int, std::set<int>> by_attempt;
    /** Number of starts of the first member. */
    int first_member = 0;
};

std::map<std::string, starts_of_job> count_starts(const std::vector<history_entry>& history) {
    std::map<std::string, starts_of_job> starts;
    for (const auto& entry : history) {
        if (entry.what != "start") {
            continue;
        }
        starts_of_job& s = starts[entry.job];
        s.by_attempt[entry.attempt].insert(entry.member);
        s.first_member += entry.member == 0 ? 1 : 0;
    }
    return starts;
}

void check_job(const ledger_state& s, const job& j, const starts_of_job& starts,
               std::vector<std::string>& broken) {
    const job_class* c = class_of(s, j);
    const std::string label = j.id + " (" + std::string(to_string(j.phase)) + ")";
    if (!is_final(j.phase)) {
        broken.push_back(label + " has not ended");
    }
    if (j.phase == job_phase::not_run && !starts.by_attempt.empty()) {
        broken.push_back(label + " was said not to have run, but a worker started it");
    }
    if (c != nullptr && !c->repeatable && starts.first_member > 1) {
        broken.push_back(label + " is not repeatable and was started " +
                         std::to_string(starts.first_member) + " times");
    }
    if (j.phase == job_phase::done) {
        const auto last = starts.by_attempt.find(j.attempt);
        const auto ran = last == starts.by_attempt.end() ? 0 : last->second.size();
        if (static_cast<int>(ran) != j.request.tasks) {
            broken.push_back(label + " is done, but only " + std::to_string(ran) + " of " +
                             std::to_string(j.request.tasks) + " members ran");
        }
    }
}

} // namespace

std::vector<std::string> check_history(const ledger_state& s,
                                       const std::vector<history_entry>& history) {
    std::vector<std::string> broken;
    const auto starts = count_starts(history);
    for (const auto& [id, j] : s.jobs) {
        const auto found = starts.find(id);
        check_job(s, j, found == starts.end() ? starts_of_job{} : found->second, broken);
    }
    for (const auto& [id, started] : starts) {
        if (!s.jobs.contains(id)) {
            broken.push_back(id + " was started, but the log does not know it");
        }
    }
    for (const auto& cell : s.cells) {
        for (const auto& b : cell.blocks) {
            if ((s.hosts.hosts()[b.host].pinned & mask_of(b)) != 0) {
                broken.push_back("guarantee " + cell.name + " is blocked by pinned work");
            }
        }
    }
    return broken;
}

} // namespace fulmarworks
