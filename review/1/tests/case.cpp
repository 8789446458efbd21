#include "deployment.h"

namespace {

using namespace fulmarworks;
using namespace fulmarworks::review;

/** Few tasks a job, at intervals: at most 64 connections to an executor are in use at once. */
constexpr int jobs = 16;
constexpr int tasks_per_job = 40;
constexpr time_ms job_interval_ms = 200;
/** In thousandths of a core: 640 tasks fit on one executor of 128 cores. */
constexpr int task_cpu = 200;
constexpr time_ms shortest_task_ms = 6000;
constexpr time_ms task_spread_ms = 1000;
/** From the first submission to the outage, shortly before the first tasks end. */
constexpr time_ms outage_after_ms = 5800;
constexpr time_ms outage_ms = 4500;

int run(const std::string& root, const std::string& record) {
    deployment d({root, record, 3, 1000, {{"/fit/", 2, 3}}, std::vector<executor_settings>(4)});
    if (!d.wait_until_ready(15'000)) {
        throw std::runtime_error("the entry hosts aren't ready");
    }
    d.poll_states(500);
    const time_ms begin = d.ledger().now();
    for (int i = 0; i < jobs; ++i) {
        const json step = {{"count", tasks_per_job},
                           {"cpu", task_cpu},
                           {"memMb", 256},
                           {"estimateMs", shortest_task_ms}};
        d.submit("/fit/", {{"spec", make_spec(shortest_task_ms, task_spread_ms, 0)},
                           {"steps", json::array({step})}});
        d.run_for(job_interval_ms);
    }
    const auto begun = [&] { return d.ledger().runs().size() >= jobs * tasks_per_job; };
    if (!d.run_until(begun, begin + outage_after_ms - d.ledger().now())) {
        throw std::runtime_error("not all tasks were started");
    }
    d.run_for(begin + outage_after_ms - d.ledger().now());
    if (with_trouble()) {
        d.ledger().note("trouble: the store answers nothing");
        d.store().set_mode(soak::store_mode::silent, 0);
        d.run_for(outage_ms);
        d.ledger().note("trouble over: the store answers");
        d.store().set_mode(soak::store_mode::up, 0);
    }
    d.run_until(
        [&] {
            for (const auto& job : d.jobs()) {
                if (job.accepted && job.state != "completed") {
                    return false;
                }
            }
            return true;
        },
        40'000);
    constexpr time_ms settling_ms = 3000;
    d.run_for(settling_ms);

    int doubled = 0;
    std::string first;
    for (const auto& [task, runs] : d.ledger().runs()) {
        for (std::size_t i = 0; i + 1 < runs.size(); ++i) {
            const bool ended_before = runs[i].how == "done" && runs[i].observed_at >= 0 &&
                                      runs[i + 1].started_at > runs[i].ended_at;
            if (ended_before) {
                ++doubled;
                first = first.empty() ? task + " run " + std::to_string(runs[i + 1].run) : first;
                break;
            }
        }
    }
    std::vector<std::string> violations;
    if (doubled > 0) {
        violations.push_back("TWICE: " + std::to_string(doubled) +
                             " tasks were started again after a run that had ended done and whose "
                             "end was taken note of; the first is " +
                             first);
    }
    return d.finish(violations);
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, run);
}
