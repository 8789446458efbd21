#include "deployment.h"

#include <algorithm>

namespace {

using namespace fulmarworks;
using namespace fulmarworks::review;

constexpr std::size_t executors = 8;
constexpr time_ms job_interval_ms = 500;
constexpr time_ms task_ms = 1000;
constexpr int pipeline_steps = 30;
constexpr time_ms traffic_ms = 25'000;
/** `finish_s` of the pages. */
constexpr time_ms finish_ms = 14'000;
/** Time for which the rule wants a job to have nothing running. */
constexpr time_ms idle_ms = 3000;

json make_step() {
    return {{"count", 1}, {"cpu", 11000}, {"memMb", 16000}, {"gpu", 1}, {"estimateMs", task_ms}};
}

json make_job() {
    return {{"spec", make_spec(task_ms, 0, 1)}, {"steps", json::array({make_step()})}};
}

/** A pipeline of small steps, each of which waits for all earlier ones. */
json make_pipeline() {
    json steps = json::array();
    for (int i = 0; i < pipeline_steps; ++i) {
        json step = make_step();
        for (int earlier = 0; earlier < i; ++earlier) {
            step["dependsOn"].push_back(earlier);
        }
        steps.push_back(step);
    }
    return {{"spec", make_spec(task_ms, 0, 1)}, {"steps", steps}};
}

int run(const std::string& root, const std::string& record) {
    deployment d(
        {root, record, 3, 1000, {{"/fit/", 2, 3}}, std::vector<executor_settings>(executors)});
    if (!d.wait_until_ready(15'000)) {
        throw std::runtime_error("the entry hosts aren't ready");
    }
    d.poll_states(1000);
    const client_job* pipeline = nullptr;
    const time_ms begin = d.ledger().now();
    while (d.ledger().now() - begin < traffic_ms) {
        d.submit("/fit/", make_job());
        d.run_for(job_interval_ms);
        if (with_trouble() && pipeline == nullptr && d.ledger().now() - begin > traffic_ms / 4) {
            d.ledger().note("trouble: one large job of " + std::to_string(pipeline_steps) +
                            " steps");
            pipeline = &d.submit("/fit/", make_pipeline());
        }
    }
    d.ledger().note("the traffic ends");
    d.run_for(finish_ms);

    // Jobs of one task, other than the large one: accepted, with nothing running for 3 s, on
    // executors that are almost idle.
    time_ms idle_since = d.ledger().now();
    const auto unfinished = [&] {
        return std::count_if(d.jobs().begin(), d.jobs().end(), [&](const client_job& j) {
            return &j != pipeline && j.accepted && j.state != "completed";
        });
    };
    bool stuck = false;
    d.run_until(
        [&] {
            int active = 0;
            for (const auto& e : d.executors()) {
                active += static_cast<int>(e.active_runs());
            }
            if (active > 0 || unfinished() == 0) {
                idle_since = d.ledger().now();
            }
            stuck = d.ledger().now() - idle_since >= idle_ms;
            return stuck || unfinished() == 0;
        },
        10'000);
    const auto never_begun =
        std::count_if(d.jobs().begin(), d.jobs().end(), [&](const client_job& j) {
            return &j != pipeline && j.accepted && !d.ledger().has_begun(j.id);
        });
    const auto accepted = std::count_if(d.jobs().begin(), d.jobs().end(),
                                        [](const client_job& j) { return j.accepted; });
    const std::string summary =
        std::to_string(d.jobs().size()) + " jobs, " + std::to_string(accepted) + " accepted; " +
        std::to_string(unfinished()) + " small jobs accepted and not shown as completed, " +
        std::to_string(never_begun) + " of them never begun";
    d.ledger().note(summary);
    std::vector<std::string> violations;
    if (stuck) {
        violations.push_back("LOST: " + summary + "; nothing ran for 3 s, " +
                             std::to_string(finish_ms / 1000) +
                             " s after the end of the traffic, on idle executors");
    }
    return d.finish(violations);
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, run);
}
