#pragma once

#include "scheduler/codec.h"
#include "scheduler/coordinator.h"

#include <optional>
#include <string>
#include <vector>

namespace fulmarworks::scheduler {

/**
 * Runs a coordinator on a manual clock. The test acts as the store and the workers: it takes the
 * pending effects and sends the answers as events.
 */
class coordinator_fixture {
public:
    coordinator_state state;
    effects pending_effects;
    instant now{1000, 1700000000000};
    /** Confirms each batch of records as soon as it is sent. Tests of write ordering disable it. */
    bool confirm_stores = true;

    void send(const event& e) {
        reduce(state, now, e, pending_effects);
        while (confirm_stores && take<store_records>()) {
            reduce(state, now, records_stored{}, pending_effects);
        }
    }

    void send(registry_change change) {
        send(workers_reported{{std::move(change)}, false, now.monotonic_ms});
    }

    void advance(time_ms by_ms) {
        now.monotonic_ms += by_ms;
        now.wall_ms += by_ms;
        send(tick{});
    }

    /** Removes and returns the first pending effect of a type. */
    template <class Effect>
    std::optional<Effect> take() {
        for (auto it = pending_effects.begin(); it != pending_effects.end(); ++it) {
            if (auto* found = std::get_if<Effect>(&*it)) {
                std::optional<Effect> taken(std::move(*found));
                pending_effects.erase(it);
                return taken;
            }
        }
        return std::nullopt;
    }

    /** Removes and returns all pending effects of a type. */
    template <class Effect>
    std::vector<Effect> take_all() {
        std::vector<Effect> all;
        while (auto one = take<Effect>()) {
            all.push_back(std::move(*one));
        }
        return all;
    }

    static worker_report make_report(const std::string& id, const std::string& rack = "r1") {
        worker_report report;
        report.incarnation = {id, 1};
        report.address = "10.0.0.1:1";
        report.pool = "pool";
        report.rack = rack;
        report.labels = {"a", rack};
        report.capacity = {128000, 262144, 8};
        return report;
    }

    /** Registers a worker and answers its first poll. */
    void add_worker(const std::string& id, const std::string& rack = "r1") {
        send(worker_reported{make_report(id, rack)});
        send(tick{});
        answer_poll(id);
    }

    /** Answers the outstanding poll of a worker as if it had been sent at `sent_at_ms`; -1 means
     * now. */
    void answer_poll(const std::string& id, std::vector<active_run> active = {},
                     std::vector<ended_run> ended = {}, time_ms sent_at_ms = -1,
                     time_ms started_wall_ms = 1) {
        worker_status status;
        status.started_wall_ms = started_wall_ms;
        status.clock_ms = now.monotonic_ms;
        status.active = std::move(active);
        status.ended = std::move(ended);
        send(poll_answered{id, sent_at_ms < 0 ? now.monotonic_ms : sent_at_ms, status});
    }

    /** Answers that the worker accepted a start order. */
    void accept_start(const send_start& order) {
        send(start_answered{order.where.id, order.task, order.run, true, {}});
    }

    /** Submits a job and accepts its first start order. Returns the order, or nothing if no task
     * was placed. */
    std::optional<send_start> run_job(const job_spec& spec) {
        send(job_submitted{spec});
        auto order = take<send_start>();
        if (order) {
            accept_start(*order);
        }
        return order;
    }

    static job_spec make_job(const std::string& id, std::uint32_t tasks,
                             resources per_task_resources, int priority = 1) {
        job_spec spec;
        spec.id = id;
        spec.account = "account";
        spec.queue = "queue";
        spec.policy.pool = "pool";
        spec.policy.priority = priority;
        spec.policy.max_attempts = 2;
        spec.policy.slack_factor = 3;
        spec.policy.latency_objective_ms = 1000;
        step_spec step;
        step.task_count = tasks;
        step.per_task = per_task_resources;
        step.estimate_ms = 5000;
        spec.steps.push_back(step);
        return spec;
    }

    task& first_task(const std::string& job) {
        return state.jobs.at(job)->occurrences.at(0).steps.at(0).tasks.at(0);
    }
};

/** Runs a job with one task on worker w1. */
inline void run_one_task(coordinator_fixture& f) {
    f.add_worker("w1");
    f.send(job_submitted{f.make_job("a", 1, {1000, 1000, 1})});
    f.accept_start(*f.take<send_start>());
    f.advance(50);
    f.take_all<send_poll>();
}

} // namespace fulmarworks::scheduler
