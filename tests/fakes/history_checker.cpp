#include "history_checker.h"

#include <set>

namespace fulmarworks {

namespace {

struct job_starts {
    /** Members that were started, by attempt. */
    std::map<int, std::set<int>> by_attempt;
    /** Number of starts of the first member over all attempts. */
    int first_member = 0;
};

std::map<std::string, job_starts> count_starts(const std::vector<history_entry>& history) {
    std::map<std::string, job_starts> starts;
    for (const auto& entry : history) {
        if (entry.what != "start") {
            continue;
        }
        job_starts& s = starts[entry.job];
        s.by_attempt[entry.attempt].insert(entry.member);
        s.first_member += entry.member == 0 ? 1 : 0;
    }
    return starts;
}

void check_job(const ledger_state& s, const job& j, const job_starts& starts,
               std::vector<std::string>& violations) {
    const job_class* c = class_of(s, j);
    const std::string label = j.id + " (" + std::string(to_string(j.phase)) + ")";
    if (!is_final(j.phase)) {
        violations.push_back(label + " has not ended");
    }
    if (j.phase == job_phase::not_run && !starts.by_attempt.empty()) {
        violations.push_back(label + " was reported as not run, but a worker started it");
    }
    if (c != nullptr && !c->repeatable && starts.first_member > 1) {
        violations.push_back(label + " is not repeatable and was started " +
                             std::to_string(starts.first_member) + " times");
    }
    if (j.phase == job_phase::done) {
        const auto last = starts.by_attempt.find(j.attempt);
        const auto ran = last == starts.by_attempt.end() ? 0 : last->second.size();
        if (static_cast<int>(ran) != j.request.tasks) {
            violations.push_back(label + " is done, but only " + std::to_string(ran) + " of " +
                                 std::to_string(j.request.tasks) + " members ran");
        }
    }
}

} // namespace

std::vector<std::string> check_history(const ledger_state& s,
                                       const std::vector<history_entry>& history) {
    std::vector<std::string> violations;
    const auto starts = count_starts(history);
    for (const auto& [id, j] : s.jobs) {
        const auto found = starts.find(id);
        check_job(s, j, found == starts.end() ? job_starts{} : found->second, violations);
    }
    for (const auto& [id, started] : starts) {
        if (!s.jobs.contains(id)) {
            violations.push_back(id + " was started, but the log has no record of it");
        }
    }
    for (const auto& cell : s.cells) {
        for (const auto& b : cell.blocks) {
            if ((s.hosts.hosts()[b.host].pinned & mask_of(b)) != 0) {
                violations.push_back("guarantee " + cell.name + " overlaps pinned accelerators");
            }
        }
    }
    return violations;
}

} // namespace fulmarworks
