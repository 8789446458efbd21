#include "random_cluster.h"

#include <algorithm>

namespace fulmarworks::scheduler {

namespace {

/** Progress that a run makes between two polls. */
constexpr int progress_step_percent = 8;

} // namespace

random_cluster::random_cluster(unsigned seed) : random_(seed) {
    for (int i = 0; i < worker_count; ++i) {
        report_worker("w" + std::to_string(i));
    }
    fixture_.send(guarantees_changed{{{"account", 16}}});
}

int random_cluster::random_below(int below) {
    return static_cast<int>(random_() % static_cast<unsigned>(below));
}

void random_cluster::change_queues() {
    queue_random_.emplace(static_cast<unsigned>(random_()));
    for (int i = 0; i < worker_count; ++i) {
        report_worker("w" + std::to_string(i));
    }
}

void random_cluster::publish_random_queue() {
    const auto below = [&](unsigned limit) { return (*queue_random_)() % limit; };
    constexpr unsigned steps_per_version = 6;
    if (below(steps_per_version) != 0) {
        return;
    }
    queue_policies queues{++configuration_version_, {}};
    if (below(4) != 0) { // otherwise the version has no queue
        queue_policy& policy = queues.by_queue["queue"];
        policy = coordinator_fixture::make_job("", 1, {}).policy;
        policy.pool = below(2) == 0 ? "pool" : "other-pool";
        policy.priority = static_cast<int>(below(3));
        policy.max_attempts = 1 + below(3);
    }
    fixture_.send(queues_changed{queues});
}

void random_cluster::step() {
    if (queue_random_) {
        publish_random_queue();
    }
    switch (random_below(12)) {
    case 0:
    case 1:
    case 2: submit_random_job(); break;
    case 3:
    case 4:
    case 5: end_random_run(); break;
    case 6: cancel_random_job(); break;
    case 7: report_worker(random_worker_id()); break;
    case 8:
        if (chance(20)) {
            fixture_.send(worker_unlisted{random_worker_id()});
        }
        break;
    case 9:
        if (chance(20)) {
            restart_worker(random_worker_id());
        } else if (chance(40)) {
            simulated_worker& w = workers_[random_worker_id()];
            w.partitioned = !w.partitioned;
        }
        break;
    default: fixture_.advance(10 + random_below(600)); break;
    }
    answer_outstanding_calls();
}

void random_cluster::report_worker(const std::string& id) {
    auto entry = coordinator_fixture::make_report(
        id, "r" + std::to_string(std::stoi(id.substr(1)) / rack_size));
    entry.incarnation.started_wall_ms = workers_[id].started_wall_ms;
    if (queue_random_ && std::stoi(id.substr(1)) >= worker_count / 2) {
        entry.pool = "other-pool";
    }
    entry.draining = chance(5);
    entry.remaining_ms = 1000;
    if (chance(10)) {
        entry.capacity.accelerators /= 2;
    }
    if (chance(5)) {
        entry.rack = "r" + std::to_string(random_below(rack_size));
    }
    fixture_.send(worker_reported{entry});
}

void random_cluster::submit_random_job() {
    const resources need{(1 + random_below(16)) * 8000, (1 + random_below(4)) * 32768,
                         random_below(9)};
    auto spec = coordinator_fixture::make_job("j" + std::to_string(next_job_++),
                                              static_cast<std::uint32_t>(1 + random_below(5)), need,
                                              random_below(3));
    step_spec& step = spec.steps[0];
    step.gang = chance(30);
    step.same_rack = chance(50);
    step.data_rack = chance(20) ? "r" + std::to_string(random_below(3)) : "";
    step.required_label = chance(10) ? "r0" : "";
    step.max_tasks_per_worker = chance(20) ? 1 : 0;
    step.checkpoints = chance(40);
    if (chance(30)) {
        step_spec second = step;
        second.depends_on = {0};
        spec.steps.push_back(second);
    }
    if (chance(20)) {
        spec.repeat_count = 3;
        spec.first_start_wall_ms = fixture_.now.wall_ms;
        spec.repeat_interval_ms = 700;
    }
    fixture_.send(job_submitted{spec});
}

void random_cluster::cancel_random_job() {
    if (next_job_ > 0 && chance(50)) {
        fixture_.send(cancel_requested{"j" + std::to_string(random_below(next_job_)), 1});
    }
}

void random_cluster::end_run(simulated_worker& w, std::size_t index, end_reason reason) {
    const active_run run = w.active[index];
    w.active.erase(w.active.begin() + static_cast<std::ptrdiff_t>(index));
    w.ended.push_back({w.next_end_sequence++, run.task, run.run, reason, ""});
}

void random_cluster::end_random_run() {
    simulated_worker& w = workers_[random_worker_id()];
    if (!w.active.empty()) {
        const auto index =
            static_cast<std::size_t>(random_below(static_cast<int>(w.active.size())));
        end_run(w, index, chance(85) ? end_reason::done : end_reason::failed);
    }
}

void random_cluster::restart_worker(const std::string& id) {
    simulated_worker& w = workers_[id];
    const time_ms started_wall_ms = w.started_wall_ms + 1;
    w = {};
    w.started_wall_ms = started_wall_ms;
}

void random_cluster::answer_outstanding_calls() {
    // Orders and polls that result from the answers are answered in a later step.
    const auto starts = fixture_.take_all<send_start>();
    const auto stops = fixture_.take_all<send_stop>();
    const auto polls = fixture_.take_all<send_poll>();
    fixture_.pending_effects.clear();
    for (const auto& order : starts) {
        answer(order);
    }
    for (const auto& order : stops) {
        answer(order);
    }
    for (const auto& order : polls) {
        answer(order);
    }
}

void random_cluster::answer(const send_start& order) {
    simulated_worker& w = workers_[order.where.id];
    if (w.partitioned) {
        return;
    }
    const bool same_incarnation = w.started_wall_ms == order.where.started_wall_ms;
    const bool already_active = std::any_of(
        w.active.begin(), w.active.end(), [&](const auto& run) { return run.task == order.task; });
    const bool starts_run = same_incarnation && !already_active && chance(90);
    if (starts_run) {
        w.active.push_back({order.task, order.run, "", 1});
    }
    if (chance(90)) {
        const auto failure =
            same_incarnation ? order_failure::no_capacity : order_failure::other_incarnation;
        fixture_.send(start_answered{order.where.id, order.task, order.run,
                                     starts_run || already_active, failure});
    }
}

void random_cluster::answer(const send_stop& order) {
    simulated_worker& w = workers_[order.where.id];
    if (w.partitioned) {
        return;
    }
    const auto found = std::find_if(w.active.begin(), w.active.end(), [&](const auto& run) {
        return run.task == order.task && run.run == order.run;
    });
    if (found != w.active.end()) {
        end_run(w, static_cast<std::size_t>(found - w.active.begin()), end_reason::stopped);
    }
    fixture_.send(stop_answered{order.where.id, order.task, order.run, true, {}});
}

void random_cluster::answer(const send_poll& order) {
    simulated_worker& w = workers_[order.where.id];
    if (w.partitioned || chance(5)) {
        fixture_.send(poll_failed{order.where.id, order_failure::no_answer});
        return;
    }
    std::erase_if(w.ended, [&](const auto& e) { return e.sequence <= order.stored_sequence; });
    worker_status status;
    status.started_wall_ms = w.started_wall_ms;
    status.clock_ms = fixture_.now.monotonic_ms;
    for (auto& run : w.active) {
        run.percent = std::min(100, run.percent + progress_step_percent);
    }
    status.active = w.active;
    status.ended = w.ended;
    fixture_.send(poll_answered{order.where.id, fixture_.now.monotonic_ms, std::move(status)});
}

} // namespace fulmarworks::scheduler
