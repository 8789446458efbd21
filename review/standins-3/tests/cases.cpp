#include "cases.h"

#include <algorithm>
#include <csignal>
#include <set>

namespace fulmarworks::review {

namespace {

constexpr std::size_t entry_hosts = 3;

std::string job_id(int number) {
    std::string digits = std::to_string(number);
    return "5c0e7a21d94b" + std::string(4 - digits.size(), '0') + digits;
}

/** A job of one step. `work_ms` is 0 for tasks that last. */
std::string one_step_job(time_ms work_ms, int count, int gpu, const json& more) {
    json step = {{"count", count}, {"cpu", 1000}, {"memMb", 1024}, {"gpu", gpu}};
    step.update(more);
    const bool gang = step.value("gang", false);
    const json spec = {{"ms", work_ms}, {"gang", gang ? count : 0}, {"gpu", gpu}};
    return json({{"spec", spec.dump()}, {"steps", json::array({step})}}).dump();
}

/** Starts the executors and the entry hosts; returns whether they are ready. */
bool start(deployment& d) {
    for (std::size_t i = 0; i < d.executor_count(); ++i) {
        if (!d.at(i).is_up()) {
            d.at(i).start();
        }
    }
    d.publish_configuration();
    for (std::size_t i = 0; i < entry_hosts; ++i) {
        d.start_host(i);
    }
    return d.wait_until_ready(15000);
}

void add_executors(deployment& d, int count) {
    for (int i = 0; i < count; ++i) {
        executor_options options;
        options.id = "i-7f3a91c" + std::to_string(i);
        d.add_executor(options);
    }
}

executor* executor_of(deployment& d, const std::string& task) {
    for (std::size_t i = 0; i < d.executor_count(); ++i) {
        if (d.at(i).works_on(task)) {
            return &d.at(i);
        }
    }
    return nullptr;
}

bool wait_for_run(deployment& d, const std::string& task, time_ms limit_ms) {
    return d.run_until([&] { return executor_of(d, task) != nullptr; }, limit_ms);
}

/** Notes each pair of runs of the task that worked at the same time; returns whether there is one.
 */
bool ran_twice(record& log, const std::string& task) {
    const auto end_of = [](const run_span& s) { return s.to_ms == 0 ? monotonic_now() : s.to_ms; };
    const auto& spans = log.spans();
    bool twice = false;
    for (std::size_t i = 0; i < spans.size(); ++i) {
        for (std::size_t k = i + 1; k < spans.size(); ++k) {
            const time_ms both = std::min(end_of(spans[i]), end_of(spans[k])) -
                                 std::max(spans[i].from_ms, spans[k].from_ms);
            if (spans[i].task != task || spans[k].task != task || both <= 0) {
                continue;
            }
            log.note("two runs of " + task + " for " + std::to_string(both) +
                     " ms: " + std::to_string(spans[i].run) + " on " + spans[i].executor + ", " +
                     std::to_string(spans[k].run) + " on " + spans[k].executor);
            twice = true;
        }
    }
    return twice;
}

} // namespace

int run_headroom(case_context& context) {
    deployment d(context.log, context.directory, entry_hosts);
    add_executors(d, 8);
    if (!start(d)) {
        return not_run;
    }
    const std::string lasting = job_id(1);
    const std::string task = lasting + ".0.0.0";
    if (!d.submit("/batch/" + lasting,
                  one_step_job(0, 1, 1, {{"longRunning", true}, {"estimateMs", 1000}})) ||
        !wait_for_run(d, task, 5000)) {
        return not_run;
    }
    d.run_for(2000);
    int urgent_jobs = 0;
    int number = 10;
    // An urgent job a second; each takes one of the 64 accelerators for 0.3 s.
    const auto urgent_for = [&](time_ms duration_ms, const std::function<bool()>& done) {
        const time_ms end = monotonic_now() + duration_ms;
        while (monotonic_now() < end && !done()) {
            const std::string id = job_id(number++);
            urgent_jobs +=
                d.submit("/urgent/" + id, one_step_job(300, 1, 1, {{"estimateMs", 300}})) ? 1 : 0;
            d.run_for(1000);
        }
    };
    urgent_for(5000, [] { return false; });
    executor* lost = executor_of(d, task);
    if (lost == nullptr) {
        return not_run;
    }
    time_ms back_at = monotonic_now();
    if (context.trouble) {
        constexpr time_ms down_ms = 4500;
        lost->crash();
        d.loop().after(down_ms, [&d, lost] {
            lost->set_id(lost->id() + "b");
            lost->start();
        });
        back_at += down_ms;
    }
    // contactMs after the disruption, 6 s after the last run, 4 s of calm, and the rule's 3 s.
    constexpr time_ms bound_ms = 4000 + 6000 + 4000 + 3000;
    urgent_for(back_at - monotonic_now() + bound_ms,
               [&] { return context.trouble && executor_of(d, task) != nullptr; });
    const bool works = executor_of(d, task) != nullptr;
    const int idle = static_cast<int>(d.executor_count());
    int idle_now = 0;
    for (int i = 0; i < idle; ++i) {
        idle_now += d.at(static_cast<std::size_t>(i)).is_idle() ? 1 : 0;
    }
    context.log.note("urgent jobs accepted: " + std::to_string(urgent_jobs) + "; task " + task +
                     (works ? " works" : " doesn't work") +
                     "; idle executors: " + std::to_string(idle_now) + " of " +
                     std::to_string(idle) + "; state shown: " + d.state_of("/batch/" + lasting));
    return works ? rule_held : rule_broken;
}

int run_worker_losses(case_context& context) {
    deployment d(context.log, context.directory, entry_hosts);
    add_executors(d, 8);
    if (!start(d)) {
        return not_run;
    }
    const std::string id = job_id(1);
    const std::string task = id + ".0.0.0";
    if (!d.submit("/batch/" + id,
                  one_step_job(0, 1, 1, {{"longRunning", true}, {"estimateMs", 1000}}))) {
        return not_run;
    }
    constexpr int losses = 6;
    constexpr time_ms work_ms = 8000;
    constexpr time_ms down_ms = 4500;
    for (int i = 0; i < losses; ++i) {
        if (!wait_for_run(d, task, 12000)) {
            break;
        }
        d.run_for(work_ms);
        executor* lost = executor_of(d, task);
        if (lost == nullptr) {
            break;
        }
        if (context.trouble) {
            lost->crash();
            d.loop().after(down_ms, [lost, i] {
                lost->set_id(lost->id() + std::to_string(i));
                lost->start();
            });
        }
    }
    (void)wait_for_run(d, task, 12000);
    const std::string state = d.state_of("/batch/" + id);
    context.log.note("state shown: " + state);
    return state == "failed" ? rule_broken : state == "running" ? rule_held : not_run;
}

int run_earlier_born(case_context& context) {
    deployment d(context.log, context.directory, entry_hosts);
    if (!start(d)) {
        return not_run;
    }
    executor_options options;
    options.id = "i-7f3a91c0";
    executor& e = d.add_executor(options);
    e.set_time_of_day_offset(context.trouble ? 2000 : 0);
    e.start();
    d.run_for(800);
    e.set_time_of_day_offset(0);
    const time_ms first_born = e.born();
    e.crash();
    d.run_for(400);
    e.start();
    context.log.note("started again " + std::to_string(e.born() - first_born) +
                     " ms after its first start, by its time of day");
    int ended = 0;
    int completed = 0;
    constexpr int jobs = 3;
    for (int i = 1; i <= jobs; ++i) {
        if (!d.submit("/batch/" + job_id(i), one_step_job(2000, 1, 1, {{"estimateMs", 2000}}))) {
            return not_run;
        }
    }
    d.run_for(40000);
    for (int i = 1; i <= jobs; ++i) {
        const std::string task = job_id(i) + ".0.0.0";
        ended += std::any_of(context.log.spans().begin(), context.log.spans().end(),
                             [&](const run_span& s) { return s.task == task && s.how == "done"; })
                     ? 1
                     : 0;
        completed += d.state_of("/batch/" + job_id(i)) == "completed" ? 1 : 0;
    }
    context.log.note("jobs: " + std::to_string(jobs) + ", ended done on the executor: " +
                     std::to_string(ended) + ", shown as completed: " + std::to_string(completed));
    return completed == jobs ? rule_held : rule_broken;
}

int run_late_duplicate(case_context& context) {
    deployment d(context.log, context.directory, entry_hosts);
    executor_options options;
    options.id = "i-7f3a91c0";
    executor& first = d.add_executor(options);
    if (!start(d)) {
        return not_run;
    }
    d.run_for(1000);
    const std::string id = job_id(1);
    const std::string task = id + ".0.0.0";
    if (context.trouble) {
        first.carry_out_next_start_late(6000);
    }
    if (!d.submit("/batch/" + id, one_step_job(20000, 1, 4, {{"estimateMs", 20000}})) ||
        !wait_for_run(d, task, 5000)) {
        return not_run;
    }
    options.id = "i-7f3a91c1";
    options.address.clear();
    options.gpu = 4;
    d.add_executor(options).start();
    d.run_for(2500);
    first.crash();
    d.run_for(300);
    first.start();
    d.run_for(40000);
    const bool twice = ran_twice(context.log, task);
    context.log.note("state shown: " + d.state_of("/batch/" + id));
    return twice ? rule_broken : rule_held;
}

int run_foreign_entry(case_context& context) {
    deployment d(context.log, context.directory, entry_hosts);
    executor_options options;
    options.id = "i-7f3a91c0";
    d.add_executor(options);
    if (!start(d)) {
        return not_run;
    }
    const std::string id = job_id(1);
    const std::string task = id + ".0.0.0";
    if (!d.submit("/batch/" + id, one_step_job(20000, 1, 4, {{"estimateMs", 20000}})) ||
        !wait_for_run(d, task, 5000)) {
        return not_run;
    }
    options.id = "i-7f3a91c1";
    d.add_executor(options).start();
    d.run_for(4000);
    if (context.trouble) {
        const json entry = {{"service", "other"},
                            {"address", d.next_address()},
                            {"zone", "z1"},
                            {"version", "v1"},
                            {"slots", 8},
                            {"state", "ready"},
                            {"coldRemainingMs", 0},
                            {"capacity", {{"cpu", 8000}, {"memMb", 16384}, {"gpu", 0}}},
                            {"labels", {"a", "r1-1"}},
                            {"clockMs", 1000},
                            {"born", wall_now()},
                            {"sequence", 1}};
        context.log.note("another writer puts servers/i-7f3a91c0 " + entry.dump());
        d.store().put("keyed.servers", "i-7f3a91c0", entry.dump());
    }
    d.run_for(40000);
    const bool twice = ran_twice(context.log, task);
    context.log.note("state shown: " + d.state_of("/batch/" + id));
    return twice ? rule_broken : rule_held;
}

int run_early_cancel(case_context& context) {
    deployment d(context.log, context.directory, entry_hosts);
    add_executors(d, 16);
    if (!start(d)) {
        return not_run;
    }
    const std::size_t leader = d.leader();
    if (leader >= entry_hosts) {
        return not_run;
    }
    struct cancelled_job {
        std::string id;
        time_ms acknowledged_ms = 0;
        int status = 0;
    };
    std::vector<cancelled_job> jobs(400);
    const auto cancel = [&](std::size_t i, std::size_t host) {
        d.send(host, "DELETE", "/batch/" + jobs[i].id, "", [&, i](const client_answer& a) {
            jobs[i].status = a.status;
            jobs[i].acknowledged_ms = monotonic_now();
        });
    };
    constexpr time_ms slow_ms = 4500;
    if (context.trouble) {
        context.log.note("the store takes 240 ms for an answer");
        d.store().set_mode(soak::store_mode::slow, 240);
        d.loop().after(slow_ms, [&] {
            context.log.note("the store answers at once again");
            d.store().set_mode(soak::store_mode::up, 0);
        });
        d.loop().after(1500, [&] { d.signal_host(leader, SIGTERM); });
    }
    d.run_for(700);
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        jobs[i].id = job_id(static_cast<int>(i + 1));
        std::size_t host = i % entry_hosts;
        host = host == leader ? (host + 1) % entry_hosts : host;
        d.send(host, "POST", "/batch/" + jobs[i].id,
               one_step_job(40000, 1, 0, {{"cpu", 100}, {"estimateMs", 40000}}),
               [&, i, host](const client_answer& a) {
                   if (a.status / 100 == 2) {
                       cancel(i, host);
                   }
               });
        d.run_for(3);
    }
    d.run_for(slow_ms + 3000 + 3000 + 200 + 1000);
    int broken = 0;
    for (const auto& j : jobs) {
        const std::string task = j.id + ".0.0.0";
        if ((j.status == 410 || j.status / 100 == 2) && executor_of(d, task) != nullptr) {
            context.log.note(
                "task " + task + " works " + std::to_string(monotonic_now() - j.acknowledged_ms) +
                " ms after its job's cancelling was answered with " + std::to_string(j.status));
            ++broken;
        }
    }
    if (context.trouble) {
        d.kill_host(leader);
    }
    return broken > 0 ? rule_broken : rule_held;
}

int run_gang_checkpoint(case_context& context) {
    deployment d(context.log, context.directory, entry_hosts);
    add_executors(d, 6);
    if (!start(d)) {
        return not_run;
    }
    const std::string id = job_id(1);
    const json gang = {
        {"gang", true}, {"checkpointing", true}, {"sameRack", true}, {"estimateMs", 20000}};
    if (!d.submit("/batch/" + id, one_step_job(20000, 2, 8, gang)) ||
        !wait_for_run(d, id + ".0.0.1", 5000)) {
        return not_run;
    }
    d.run_for(4300);
    constexpr time_ms cut_ms = 5500;
    std::size_t cuts = 0;
    for (std::size_t i = 0; context.trouble && i < d.executor_count(); ++i) {
        executor& e = d.at(i);
        if (!e.is_idle() && cuts++ < 2) {
            context.log.note("executor " + e.id() + " is cut off");
            e.set_cut(true);
            d.loop().after(cut_ms, [&e] { e.set_cut(false); });
            d.run_for(2000);
        }
    }
    d.run_for(15000);
    std::set<std::string> checkpoints;
    for (const auto& span : context.log.spans()) {
        if (span.run == 2) {
            checkpoints.insert(span.checkpoint);
        }
    }
    for (const auto& c : checkpoints) {
        context.log.note("run 2 was started from checkpoint '" + c + "'");
    }
    return checkpoints.size() > 1 ? rule_broken : rule_held;
}

} // namespace fulmarworks::review
