// A service has lost its executors. The operator sends its queues to another service, which is
// idle. Jobs that were accepted before and after the change ask for room there.

#include "deployment.h"

#include <cstdio>

namespace {

using namespace fulmarworks;

constexpr int executor_count = 8;
constexpr int job_count = 4;
/** Time that the jobs get: more than `finish_s` (14 s), and the 3 s for which a job may be idle. */
constexpr time_ms observed_ms = 30'000;

std::string job_id(int number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", 0xe000 + number);
    return text;
}

} // namespace

int main(int argc, char** argv) {
    using namespace fulmarworks::review;
    const case_options options = parse_options(argc, argv);
    deployment d(options, 3, executor_count, 8);
    for (auto& e : d.executors) {
        e->set_service("pool-b");
    }
    if (!d.start()) {
        d.record.write("the deployment didn't start");
        return 2;
    }
    d.watch_states();
    task_shape small;
    small.count = 2;
    small.need = {8000, 16000, 1};
    small.run_ms = 2500;
    for (int i = 0; i < job_count; ++i) {
        d.submit(job_id(i), "/normal/", job_body({small}));
    }
    if (!d.run_until([&] { return d.all_accepted(); }, 10'000)) {
        d.record.write("the jobs weren't accepted");
        return 2;
    }
    d.run_for(4000);
    if (options.trouble) {
        d.configure(2, "pool-b");
        d.run_for(3000);
        d.submit(job_id(100), "/normal/", job_body({small}));
    }
    const auto all_completed = [&] {
        for (const auto& [id, job] : d.jobs) {
            if (job.state != "completed") {
                return false;
            }
        }
        return true;
    };
    const bool held = d.run_until(all_completed, observed_ms);
    if (!options.trouble) {
        // The queue's service has no room at all, so the jobs may wait.
        d.record.write("rule held");
        return 0;
    }
    if (d.jobs[job_id(100)].state != "completed") {
        d.record.write("the new service doesn't run jobs");
        return 2;
    }
    d.record.write(held ? "rule held"
                        : "VIOLATION LOST: jobs accepted before the change have no run, while all "
                          "executors of their queue's service are idle");
    return held ? 0 : 1;
}
