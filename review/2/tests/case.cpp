#include "deployment.h"

#include <algorithm>
#include <csignal>

namespace {

using namespace fulmarworks;
using namespace fulmarworks::review;

constexpr std::size_t executors = 8;
/** As on machines of the grown deployments; few starts at a time fit into a tenth of it. */
constexpr double link_mbps = 10;
constexpr int tasks = 12;
constexpr time_ms task_ms = 500;
/** Close to the longest spec, 4,000 bytes. */
constexpr std::size_t padding_bytes = 3800;
constexpr time_ms freeze_ms = 3800;
/** Starts that aren't relayed reach their executors within this time. */
constexpr time_ms prompt_start_ms = 200;
/** From the start of the freeze: the tasks have ended, and their ends are taken note of. */
constexpr time_ms crash_after_ms = 1500;
constexpr time_ms down_ms = 1500;
constexpr time_ms background_ms = 40'000;
constexpr time_ms watched_ms = 8000;

/** One long task on each executor, so that all executors are busy. */
json make_background() {
    const json step = {{"count", executors}, {"cpu", 11000},      {"memMb", 16000},
                       {"gpu", 1},           {"antiAffinity", 1}, {"estimateMs", background_ms}};
    return {{"spec", make_spec(background_ms, 0, 1)}, {"steps", json::array({step})}};
}

json make_job() {
    json spec = parse_json(make_spec(task_ms, 0, 1)).value();
    spec["input"] = std::string(padding_bytes, 'x');
    const json step = {
        {"count", tasks}, {"cpu", 11000}, {"memMb", 16000}, {"gpu", 1}, {"estimateMs", task_ms}};
    return {{"spec", spec.dump()}, {"steps", json::array({step})}};
}

int run(const std::string& root, const std::string& record) {
    deployment d(
        {root, record, 3, link_mbps, {{"/fit/", 2, 3}}, std::vector<executor_settings>(executors)});
    if (!d.wait_until_ready(15'000)) {
        throw std::runtime_error("the entry hosts aren't ready");
    }
    client_job& background = d.submit("/fit/", make_background());
    d.run_for(4000);
    if (d.ledger().active_runs(background.id) != executors) {
        throw std::runtime_error("the executors aren't busy");
    }
    const std::size_t leader = d.leader();
    const std::size_t accepting = (leader + 1) % 3;
    client_job& job = d.submit_at(accepting, "/fit/", make_job(), [&] {
        if (with_trouble()) {
            d.ledger().note("trouble: the host that accepted the job freezes");
            d.signal_host(accepting, SIGSTOP);
        }
    });
    d.run_until([&] { return job.accepted; }, 3000);
    d.run_for(crash_after_ms);
    if (d.ledger().done_tasks(job.id) != tasks) {
        throw std::runtime_error("the job's tasks aren't done");
    }
    if (with_trouble()) {
        // The executor with most of the tasks whose first start order the frozen host still holds.
        std::map<std::string, int> late_starts;
        for (const auto& [task, runs] : d.ledger().runs()) {
            const bool repeated = task.starts_with(job.id) &&
                                  runs.back().started_at - job.accepted_at > prompt_start_ms;
            late_starts[runs.back().executor] += repeated ? 1 : 0;
        }
        const std::string busiest =
            std::max_element(late_starts.begin(), late_starts.end(),
                             [](const auto& x, const auto& y) { return x.second < y.second; })
                ->first;
        const auto crashed =
            std::find_if(d.executors().begin(), d.executors().end(),
                         [&](const executor& e) { return e.settings().id == busiest; });
        d.ledger().note("trouble: the executor crashes: " + busiest);
        crashed->set_fault(executor_fault::lost);
        d.run_for(down_ms);
        crashed->set_fault(executor_fault::none);
        crashed->restart();
        d.run_for(freeze_ms - crash_after_ms - down_ms);
        d.signal_host(accepting, SIGCONT);
        d.ledger().note("trouble over: the host wakes");
    }
    d.run_for(watched_ms);

    int doubled = 0;
    std::string first;
    for (const auto& [task, runs] : d.ledger().runs()) {
        for (std::size_t i = 0; i + 1 < runs.size(); ++i) {
            if (runs[i].how == "done" && runs[i].observed_at >= 0 &&
                runs[i + 1].started_at > runs[i].ended_at) {
                ++doubled;
                first = first.empty() ? task : first;
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
