#include "random_cluster.h"

#include <algorithm>

namespace fulmarworks::scheduler {

random_cluster::random_cluster(unsigned seed) : random_(seed) {
    for (int i = 0; i < worker_count; ++i) {
        report("w" + std::to_string(i));
    }
    fixture_.send(guarantees_changed{{{"account", 16}}});
}

int random_cluster::pick(int below) {
    return static_cast<int>(random_() % static_cast<unsigned>(below));
}

void random_cluster::step() {
    switch (pick(12)) {
    case 0:
    case 1:
    case 2: submit(); break;
    case 3:
    case 4:
    case 5: end_any_run(); break;
    case 6: cancel_any(); break;
    case 7: report(any_worker()); break;
    case 8:
        if (chance(20)) {
            fixture_.send(worker_unlisted{any_worker()});
        }
        break;
    case 9:
        if (chance(20)) {
            restart(any_worker());
        } else if (chance(40)) {
            life& l = lives_[any_worker()];
            l.cut_off = !l.cut_off;
        }
        break;
    default: fixture_.advance(10 + pick(600)); break;
    }
    answer_open_calls();
}

void random_cluster::report(const std::string& id) {
    auto entry = coordinator_fixture::make_report(
        id, "r" + std::to_string(std::stoi(id.substr(1)) / rack_size));
    entry.incarnation.started_wall_ms = lives_[id].started_wall_ms;
    entry.draining = chance(5);
    entry.remaining_ms = 1000;
    if (chance(10)) {
        entry.capacity.accelerators /= 2;
    }
    if (chance(5)) {
        entry.rack = "r" + std::to_string(pick(rack_size));
    }
    fixture_.send(worker_reported{entry});
}

void random_cluster::submit() {
    const resources need{(1 + pick(16)) * 8000, (1 + pick(4)) * 32768, pick(9)};
    auto spec = coordinator_fixture::make_job(
        "j" + std::to_string(next_job_++), static_cast<std::uint32_t>(1 + pick(5)), need, pick(3));
    step_spec& step = spec.steps[0];
    step.gang = chance(30);
    step.same_rack = chance(50);
    step.data_rack = chance(20) ? "r" + std::to_string(pick(3)) : "";
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

void random_cluster::cancel_any() {
    if (next_job_ > 0 && chance(50)) {
        fixture_.send(cancel_requested{"j" + std::to_string(pick(next_job_)), 1});
    }
}

void random_cluster::end_run(life& l, std::size_t index, end_reason reason) {
    const active_run run = l.active[index];
    l.active.erase(l.active.begin() + static_cast<std::ptrdiff_t>(index));
    l.ended.push_back({l.next_end++, run.task, run.run, reason, ""});
}

void random_cluster::end_any_run() {
    life& l = lives_[any_worker()];
    if (!l.active.empty()) {
        const auto index = static_cast<std::size_t>(pick(static_cast<int>(l.active.size())));
        end_run(l, index, chance(85) ? end_reason::done : end_reason::failed);
    }
}

void random_cluster::restart(const std::string& id) {
    life& l = lives_[id];
    const time_ms born = l.started_wall_ms + 1;
    l = {};
    l.started_wall_ms = born;
}

void random_cluster::answer_open_calls() {
    // Effects of the answers are answered in a later step, in whatever order it brings.
    const auto starts = fixture_.take_all<send_start>();
    const auto stops = fixture_.take_all<send_stop>();
    const auto polls = fixture_.take_all<send_poll>();
    fixture_.out.clear();
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
    life& l = lives_[order.where.id];
    if (l.cut_off) {
        return;
    }
    const bool same_life = l.started_wall_ms == order.where.started_wall_ms;
    const bool known = std::any_of(l.active.begin(), l.active.end(),
                                   [&](const auto& run) { return run.task == order.task; });
    const bool arrives = same_life && !known && chance(90);
    if (arrives) {
        l.active.push_back({order.task, order.run, "", 1});
    }
    if (chance(90)) {
        const auto failure =
            same_life ? order_failure::no_capacity : order_failure::other_incarnation;
        fixture_.send(
            start_answered{order.where.id, order.task, order.run, arrives || known, failure});
    }
}

void random_cluster::answer(const send_stop& order) {
    life& l = lives_[order.where.id];
    if (l.cut_off) {
        return;
    }
    const auto found = std::find_if(l.active.begin(), l.active.end(), [&](const auto& run) {
        return run.task == order.task && run.run == order.run;
    });
    if (found != l.active.end()) {
        end_run(l, static_cast<std::size_t>(found - l.active.begin()), end_reason::stopped);
    }
    fixture_.send(stop_answered{order.where.id, order.task, order.run, true, {}});
}

void random_cluster::answer(const send_poll& order) {
    life& l = lives_[order.where.id];
    if (l.cut_off || chance(5)) {
        fixture_.send(poll_failed{order.where.id, order_failure::no_answer});
        return;
    }
    std::erase_if(l.ended, [&](const auto& e) { return e.sequence <= order.stored_sequence; });
    worker_status status;
    status.started_wall_ms = l.started_wall_ms;
    status.clock_ms = fixture_.now.monotonic_ms;
    status.active = l.active;
    status.ended = l.ended;
    fixture_.send(poll_answered{order.where.id, fixture_.now.monotonic_ms, std::move(status)});
}

} // namespace fulmarworks::scheduler
