#include "deployment.h"

#include <algorithm>

namespace {

using namespace fulmarworks;
using namespace fulmarworks::review;

constexpr std::size_t executors = 24;
/** The executors with the label; a twelfth of all, so one wave of `srv_grey` can meet both. */
constexpr std::size_t labelled_executors = 2;
constexpr const char* label = "b";
constexpr int tasks = 8;
constexpr int tasks_per_executor = 4;
constexpr int gpus_per_executor = 8;
constexpr time_ms task_ms = 4000;
constexpr time_ms before_job_ms = 1000;
constexpr time_ms trouble_ms = 3000;
/** `finish_s` of the pages. */
constexpr time_ms finish_ms = 14'000;
/** Time for which the rule wants a job to have nothing running. */
constexpr time_ms idle_ms = 3000;

deployment_settings make_settings(const std::string& root, const std::string& record) {
    deployment_settings s{root, record, 3, 1000, {{"/fit/", 2, 3}}, {}};
    for (std::size_t i = 0; i < executors; ++i) {
        executor_settings e;
        e.kind = i < labelled_executors ? label : "a";
        e.rack = "r" + std::to_string(i / 8);
        s.executors.push_back(e);
    }
    return s;
}

json make_job(int count) {
    const json step = {{"count", count},
                       {"cpu", 11000},
                       {"memMb", 16000},
                       {"gpu", 1},
                       {"estimateMs", task_ms},
                       {"requiredLabel", label},
                       {"antiAffinity", tasks_per_executor}};
    return {{"spec", make_spec(task_ms, 0, 1)}, {"steps", json::array({step})}};
}

void set_trouble(deployment& d, executor_fault fault) {
    for (std::size_t i = 0; i < labelled_executors; ++i) {
        d.executors()[i].set_fault(fault);
    }
}

int run(const std::string& root, const std::string& record) {
    deployment d(make_settings(root, record));
    if (!d.wait_until_ready(15'000)) {
        throw std::runtime_error("the entry hosts aren't ready");
    }
    if (with_trouble()) {
        d.ledger().note("trouble: the executors with the label fail all that they start");
        set_trouble(d, executor_fault::fails_runs);
        d.after(trouble_ms, [&d] {
            d.ledger().note("trouble over");
            set_trouble(d, executor_fault::none);
        });
    }
    d.run_for(before_job_ms);
    client_job& job = d.submit("/fit/", make_job(tasks));
    d.poll_states(500);
    d.run_for(16'000);
    // A later job shows that the executors with the label are sound and get work.
    client_job& later = d.submit("/fit/", make_job(4));
    d.run_for(finish_ms);

    time_ms idle_since = d.ledger().now();
    bool stuck = false;
    d.run_until(
        [&] {
            int used = 0;
            int free_with_label = 0;
            for (auto& e : d.executors()) {
                used += e.used_gpu();
                free_with_label +=
                    e.settings().kind == label ? gpus_per_executor - e.used_gpu() : 0;
            }
            const int waiting = tasks - d.ledger().done_tasks(job.id);
            const bool room = free_with_label >= 2 * waiting &&
                              used < gpus_per_executor * static_cast<int>(executors) / 2;
            if (d.ledger().active_runs(job.id) > 0 || job.state == "completed" || !room) {
                idle_since = d.ledger().now();
            }
            stuck = d.ledger().now() - idle_since >= idle_ms;
            return stuck || job.state == "completed";
        },
        10'000);

    const std::string summary = "job " + job.id + ": state " + job.state + ", " +
                                std::to_string(d.ledger().done_tasks(job.id)) + " of " +
                                std::to_string(tasks) +
                                " tasks done; later job with the same label: " + later.state;
    d.ledger().note(summary);
    if (!job.accepted || !later.accepted) {
        throw std::runtime_error("a job wasn't accepted");
    }
    std::vector<std::string> violations;
    if (stuck) {
        violations.push_back("LOST: " + summary + "; nothing of the job ran for 3 s, " +
                             std::to_string(finish_ms / 1000) +
                             " s after the end of the traffic, with room for its tasks twice over");
    }
    return d.finish(violations);
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, run);
}
