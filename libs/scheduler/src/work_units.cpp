#include "work_units.h"

#include "lookup.h"

#include <algorithm>
#include <tuple>

namespace fulmarworks::scheduler {

namespace {

/** Beyond this many times the objective a job is of no more use to its caller. */
constexpr int useful_objectives = 3;

time_ms objective_ms(const job_spec& spec) {
    return static_cast<time_ms>(spec.terms.slack_factor *
                                static_cast<double>(longest_chain_ms(spec))) +
           spec.terms.latency_objective_ms;
}

/** Returns the estimated time from the start of `step` to the end of the job. */
time_ms remaining_chain_ms(const job_spec& spec, std::uint32_t step) {
    time_ms longest_after = 0;
    for (std::uint32_t i = step + 1; i < spec.steps.size(); ++i) {
        const auto& earlier = spec.steps[i].depends_on;
        if (std::find(earlier.begin(), earlier.end(), step) != earlier.end()) {
            longest_after = std::max(longest_after, remaining_chain_ms(spec, i));
        }
    }
    return spec.steps[step].estimate_ms + longest_after;
}

urgency classify(const work_unit& unit, time_ms begun_at_ms, bool guaranteed, time_ms now_ms) {
    const time_ms ends_at = now_ms + remaining_chain_ms(unit.owner->spec, unit.step);
    if (guaranteed) {
        return urgency::guaranteed;
    }
    if (ends_at <= unit.objective_at_ms) {
        return urgency::in_time;
    }
    const time_ms useful_until =
        begun_at_ms + useful_objectives * (unit.objective_at_ms - begun_at_ms);
    return ends_at <= useful_until ? urgency::late : urgency::overdue;
}

void collect_step(work_unit unit, std::vector<work_unit>& units) {
    const step_progress& progress = unit.in->steps[unit.step];
    for (std::uint32_t i = 0; i < progress.tasks.size(); ++i) {
        if (progress.tasks[i].phase == task_phase::idle) {
            unit.tasks.push_back(i);
        }
    }
    const bool whole = unit.tasks.size() == progress.tasks.size();
    if (!unit.tasks.empty() && (whole || !unit.spec().gang)) {
        units.push_back(std::move(unit));
    }
}

void collect_job(job& j, bool guaranteed, time_ms now_ms, std::vector<work_unit>& units) {
    for (auto& o : j.occurrences) {
        for (std::uint32_t s = 0; s < o.steps.size(); ++s) {
            step_progress& progress = o.steps[s];
            if (progress.complete() || !dependencies_complete(j.spec, o, s)) {
                continue;
            }
            if (progress.ready_at_ms == 0) {
                progress.ready_at_ms = now_ms;
            }
            work_unit unit{&j, &o, s, {}, urgency::in_time, 0, progress.ready_at_ms};
            const time_ms begun_at =
                j.spec.repeat_count > 0 ? progress.ready_at_ms : j.accepted_at_ms;
            unit.objective_at_ms = begun_at + objective_ms(j.spec);
            unit.class_of_service = classify(unit, begun_at, guaranteed, now_ms);
            collect_step(std::move(unit), units);
        }
    }
}

bool has_idle_task(const job& j) {
    const auto idle = [](const task& t) { return t.phase == task_phase::idle; };
    return std::any_of(j.occurrences.begin(), j.occurrences.end(), [&](const occurrence& o) {
        return std::any_of(o.steps.begin(), o.steps.end(), [&](const step_progress& s) {
            return std::any_of(s.tasks.begin(), s.tasks.end(), idle);
        });
    });
}

/** Returns whether the account owns all that its urgent jobs need together. */
bool is_guaranteed(const coordinator_state& state, const job& j) {
    const auto guarantee = state.accounts.find(j.spec.account);
    return j.spec.terms.priority == 0 && guarantee != state.accounts.end() &&
           state.urgent_demand.at(j.spec.account) <= guarantee->second;
}

} // namespace

std::vector<work_unit> collect_units(coordinator_state& state, time_ms now_ms) {
    std::vector<work_unit> units;
    std::erase_if(state.waiting_jobs, [&](const std::string& id) {
        const auto found = state.jobs.find(id);
        if (found == state.jobs.end() || found->second->ended() || state.unreadable.contains(id) ||
            !has_idle_task(*found->second)) {
            return true;
        }
        job& j = *found->second;
        collect_job(j, is_guaranteed(state, j), now_ms, units);
        return false;
    });
    std::sort(units.begin(), units.end(), [](const work_unit& a, const work_unit& b) {
        const auto key = [](const work_unit& u) {
            return std::tie(u.owner->spec.terms.priority, u.class_of_service, u.objective_at_ms,
                            u.owner->spec.id, u.in->number, u.step);
        };
        return key(a) < key(b);
    });
    return units;
}

} // namespace fulmarworks::scheduler
