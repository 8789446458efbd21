#include "run_ledger.h"

#include <algorithm>
#include <iomanip>

namespace fulmarworks::review {

namespace {

bool belongs_to(const std::string& task, const std::string& job) {
    return task.starts_with(job + ".");
}

} // namespace

run_ledger::run_ledger(const std::string& file) : file_(file) {}

void run_ledger::note(const std::string& line) {
    const time_ms at = now();
    file_ << std::setw(4) << at / 1000 << '.' << std::setfill('0') << std::setw(3) << at % 1000
          << std::setfill(' ') << ' ' << line << '\n';
    file_.flush();
}

recorded_run* run_ledger::find(const std::string& executor, const std::string& task, int run) {
    auto& known = runs_[task];
    const auto found = std::find_if(known.rbegin(), known.rend(), [&](const recorded_run& r) {
        return r.executor == executor && r.run == run;
    });
    return found == known.rend() ? nullptr : &*found;
}

void run_ledger::started(const std::string& executor, const std::string& task, int run) {
    runs_[task].push_back({executor, run, now(), -1, "", -1});
    note("run started: task=" + task + " run=" + std::to_string(run) + " executor=" + executor);
}

void run_ledger::ended(const std::string& executor, const std::string& task, int run,
                       const std::string& how) {
    if (recorded_run* r = find(executor, task, run)) {
        r->ended_at = now();
        r->how = how;
    }
    note("run ended: task=" + task + " run=" + std::to_string(run) + " executor=" + executor +
         " how=" + how);
}

void run_ledger::observed(const std::string& executor, const std::string& task, int run) {
    if (recorded_run* r = find(executor, task, run)) {
        r->observed_at = now();
    }
}

int run_ledger::active_runs(const std::string& job) const {
    int active = 0;
    for (const auto& [task, list] : runs_) {
        if (belongs_to(task, job)) {
            active += static_cast<int>(std::count_if(list.begin(), list.end(),
                                                     [](const auto& r) { return r.ended_at < 0; }));
        }
    }
    return active;
}

bool run_ledger::has_begun(const std::string& job) const {
    return std::any_of(runs_.begin(), runs_.end(),
                       [&](const auto& entry) { return belongs_to(entry.first, job); });
}

int run_ledger::done_tasks(const std::string& job) const {
    return static_cast<int>(std::count_if(runs_.begin(), runs_.end(), [&](const auto& entry) {
        return belongs_to(entry.first, job) &&
               std::any_of(entry.second.begin(), entry.second.end(),
                           [](const auto& r) { return r.how == "done"; });
    }));
}

} // namespace fulmarworks::review
