#include "task_groups.h"

#include "expected_run.h"
#include "lookup.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace fulmarworks::scheduler {

namespace {

/** After this multiple of its latency objective, a job is no longer useful to its caller. */
constexpr int useful_objective_multiple = 3;

/** Precondition for this and the functions below: the job's expectations are known. */
time_ms objective_ms(const job& j) {
    const auto& paths = j.expected_remaining_path_ms;
    const time_ms critical_path = *std::max_element(paths.begin(), paths.end());
    return static_cast<time_ms>(j.policy.slack_factor * static_cast<double>(critical_path)) +
           j.policy.latency_objective_ms;
}

urgency classify(const task_group& group, time_ms objective_start_ms, bool guaranteed,
                 time_ms now_ms) {
    const time_ms ends_at = now_ms + group.owner->expected_remaining_path_ms[group.step];
    if (guaranteed) {
        return urgency::guaranteed;
    }
    if (ends_at <= group.objective_at_ms) {
        return urgency::in_time;
    }
    const time_ms useful_until =
        objective_start_ms +
        useful_objective_multiple * (group.objective_at_ms - objective_start_ms);
    return ends_at <= useful_until ? urgency::late : urgency::overdue;
}

/** Adds a ready step if it can be placed now. Returns whether any of its tasks is idle. */
bool collect_step(task_group group, std::vector<task_group>& groups) {
    const step_progress& progress = group.parent->steps[group.step];
    bool idle = false;
    for (std::uint32_t i = 0; i < progress.tasks.size(); ++i) {
        if (progress.tasks[i].phase != task_phase::idle) {
            continue;
        }
        idle = true;
        if (may_start(progress.tasks[i].losses)) {
            group.tasks.push_back(i);
        }
    }
    if (group.tasks.empty()) {
        return idle;
    }
    if (group.tasks.size() == progress.tasks.size() || !group.spec().gang) {
        groups.push_back(std::move(group));
    }
    return true;
}

/**
 * Adds the steps of a job that can be placed now. Returns whether any task of the job is idle or
 * waits for a dependency.
 */
bool collect_job(job& j, bool guaranteed, time_ms now_ms, std::vector<task_group>& groups) {
    const time_ms objective = objective_ms(j);
    bool idle = false;
    for (auto& o : j.occurrences) {
        for (std::uint32_t s = 0; s < o.steps.size(); ++s) {
            step_progress& progress = o.steps[s];
            if (progress.complete()) {
                continue;
            }
            if (!dependencies_complete(j.spec, o, s)) {
                idle = true;
                continue;
            }
            if (progress.ready_at_ms == 0) {
                progress.ready_at_ms = now_ms;
            }
            task_group group{&j, &o, s, {}, urgency::in_time, 0, progress.ready_at_ms};
            const time_ms objective_start =
                j.spec.repeat_count > 0 ? progress.ready_at_ms : j.accepted_at_ms;
            group.objective_at_ms = objective_start + objective;
            group.urgency_class = classify(group, objective_start, guaranteed, now_ms);
            idle = collect_step(std::move(group), groups) || idle;
        }
    }
    return idle;
}

/** Returns whether the account's guarantee covers all of its active urgent jobs. */
bool is_guaranteed(const coordinator_state& state, const job& j) {
    const auto guarantee = state.account_guarantees.find(j.spec.account);
    return j.policy.priority == 0 && guarantee != state.account_guarantees.end() &&
           state.urgent_demand.at(j.spec.account) <= guarantee->second;
}

} // namespace

std::vector<task_group> collect_task_groups(coordinator_state& state, plan_scope scope,
                                            time_ms now_ms) {
    std::vector<task_group> groups;
    expectation_refresh refresh = begin_expectation_refresh(now_ms);
    auto& waiting = scope == plan_scope::urgent ? state.waiting_urgent_jobs : state.waiting_jobs;
    auto& other = scope == plan_scope::urgent ? state.waiting_jobs : state.waiting_urgent_jobs;
    for (auto id = waiting.begin(); id != waiting.end();) {
        const auto found = state.jobs.find(*id);
        const bool active = found != state.jobs.end() && !found->second->ended() &&
                            !state.unreadable_jobs.contains(*id);
        bool waits = false;
        if (active) {
            job& j = *found->second;
            refresh_expectations(state, j, refresh);
            waits = collect_job(j, is_guaranteed(state, j), now_ms, groups);
        }
        if (waits) {
            ++id;
        } else {
            other.erase(*id);
            id = waiting.erase(id);
        }
    }
    std::sort(groups.begin(), groups.end(), [](const task_group& a, const task_group& b) {
        const auto key = [](const task_group& g) {
            return std::tie(g.owner->policy.priority, g.urgency_class, g.objective_at_ms,
                            g.owner->spec.id, g.parent->number, g.step);
        };
        return key(a) < key(b);
    });
    return groups;
}

} // namespace fulmarworks::scheduler
