#include "invariant_checker.h"

#include <charconv>

namespace fulmarworks::soak {

namespace {

/** Platform limits on the time until a confirmed cancellation, or an accepted job, takes effect on
 * every host. */
constexpr time_ms cancel_propagation_ms = 3000;
constexpr time_ms visibility_ms = 3000;
/** `maxAttempts` in soak_configuration(): failed runs allowed per task. */
constexpr int max_attempts = 4;
/** Crashes of workers under a task after which it may be given up, and after which its starts are
 * limited. */
constexpr int crashes_to_give_up = 2;
constexpr int crashes_to_limit_starts = 3;
constexpr int max_starts_after_crashes = 2;

/** `drainMs` of the platform, and `drain_bound_ms` of the entry hosts. */
constexpr time_ms drain_bound_ms = 2000;

std::string task_key(const std::string& job, int step, int index) {
    return job + "." + std::to_string(step) + "." + std::to_string(index);
}

/**
 * Returns the key under which failed attempts are counted. A gang fails as a whole, so all of its
 * members share the key of the first.
 */
std::string attempt_key(const caller_view& view, const task_name& task) {
    const bool gang = view.shape.steps.at(task.step).gang;
    return task_key(task.job, task.step, gang ? 0 : task.index);
}

} // namespace

json encode_shape(const job_shape& shape) {
    json steps = json::array();
    for (const auto& s : shape.steps) {
        steps.push_back({s.tasks, s.per_task.cpu_millis, s.per_task.memory_mb,
                         s.per_task.accelerators, s.run_ms, s.gang, s.depends_on,
                         s.crashes_worker});
    }
    return steps;
}

job_shape decode_shape(const std::string& text) {
    job_shape shape;
    const auto parsed = parse_json(text);
    if (!parsed) {
        return shape;
    }
    for (const json& s : parsed.value()) {
        shape.steps.push_back({s[0], {s[1], s[2], s[3]}, s[4], s[5], s[6], s[7]});
    }
    return shape;
}

task_name parse_task_name(const std::string& text) {
    task_name name{text, text.substr(0, text.find('.')), 0, 0};
    const std::size_t last_dot = text.rfind('.');
    const std::size_t previous_dot = text.rfind('.', last_dot - 1);
    std::from_chars(text.data() + last_dot + 1, text.data() + text.size(), name.index);
    std::from_chars(text.data() + previous_dot + 1, text.data() + last_dot, name.step);
    return name;
}

bool is_final(std::string_view state) {
    return state == "completed" || state == "failed" || state == "cancelled";
}

void invariant_checker::add_violation(const std::string& job, const std::string& rule,
                                      const std::string& description) {
    violations_.push_back(rule + ": " + description);
    violating_jobs_.insert(job);
}

void invariant_checker::record_run_event(const task_name& task, const std::string& text) {
    run_histories_[task.job].push_back("ts=" + std::to_string(wall_now()) +
                                       " node=worker request=" + task.job + " task=" + task.text +
                                       " " + text);
}

std::vector<std::string> invariant_checker::run_history(const std::string& job) const {
    const auto found = run_histories_.find(job);
    return found == run_histories_.end() ? std::vector<std::string>{} : found->second;
}

bool invariant_checker::is_step_complete(const std::string& job, int step) const {
    const int tasks = jobs.at(job).shape.steps.at(step).tasks;
    for (int i = 0; i < tasks; ++i) {
        if (!completed_tasks_.contains(task_key(job, step, i))) {
            return false;
        }
    }
    return true;
}

void invariant_checker::run_started(const task_name& task, int run, const std::string& worker,
                                    const scheduler::resources& used,
                                    const scheduler::resources& capacity) {
    ++start_count_;
    record_run_event(task, "event=started run=" + std::to_string(run) + " worker=" + worker);
    const std::string description = task.text + " run " + std::to_string(run) + " on " + worker;
    const std::string key = task_key(task.job, task.step, task.index);
    const auto found = jobs.find(task.job);
    if (found == jobs.end()) {
        add_violation(task.job, "UNASKED", description + " belongs to no submitted job");
        return;
    }
    started_jobs_.insert(task.job);
    const auto running = running_on_.find(key);
    if (running != running_on_.end()) {
        add_violation(task.job, "TWICE", description + " while it runs on " + running->second);
    }
    if (acknowledged_completions_.contains(key)) {
        add_violation(task.job, "TWICE", description + " after its completion was acknowledged");
    }
    running_on_[key] = worker;
    if (!fits(used, capacity)) {
        add_violation(task.job, "LIMIT", description + " exceeds the worker's capacity");
    }
    for (const int dependency : found->second.shape.steps.at(task.step).depends_on) {
        if (!is_step_complete(task.job, dependency)) {
            add_violation(task.job, "ORDER",
                          description + " before step " + std::to_string(dependency) +
                              " was complete");
        }
    }
    const auto failed = acknowledged_failures_.find(attempt_key(found->second, task));
    if (failed != acknowledged_failures_.end() && failed->second >= max_attempts) {
        add_violation(task.job, "BUDGET", description + " after its last allowed attempt failed");
    }
    const auto crashes = crashes_.find(key);
    if (crashes != crashes_.end() && crashes->second >= crashes_to_limit_starts &&
        ++starts_after_crashes_[key] > max_starts_after_crashes) {
        add_violation(task.job, "BUDGET",
                      description + " after " + std::to_string(crashes->second) +
                          " workers had crashed under it");
    }
    const time_ms cancel_confirmed_at = found->second.cancel_confirmed_at;
    if (cancel_confirmed_at != 0 && monotonic_now() > cancel_confirmed_at + cancel_propagation_ms) {
        add_violation(task.job, "UNASKED",
                      description + " later than the limit after its job was cancelled");
    }
}

void invariant_checker::run_ended(const task_name& task, const std::string& reason) {
    running_on_.erase(task_key(task.job, task.step, task.index));
    record_run_event(task, "event=ended reason=" + reason);
    if (reason == "crashed") {
        last_crash_at_ = monotonic_now();
        ++crashes_[task_key(task.job, task.step, task.index)];
    }
    const auto found = jobs.find(task.job);
    if (reason != "done" || found == jobs.end()) {
        return;
    }
    const step_shape& step = found->second.shape.steps.at(task.step);
    if (!step.gang) {
        completed_tasks_.insert(task_key(task.job, task.step, task.index));
        return;
    }
    // A gang completes as a whole, so the end of one member completes all.
    for (int i = 0; i < step.tasks; ++i) {
        completed_tasks_.insert(task_key(task.job, task.step, i));
    }
}

void invariant_checker::drain_accepted(const std::string& worker) {
    draining_since_.try_emplace(worker, monotonic_now());
}

void invariant_checker::prompt_start(const task_name& task, const std::string& worker) {
    const auto draining = draining_since_.find(worker);
    if (draining != draining_since_.end() && monotonic_now() > draining->second + drain_bound_ms) {
        add_violation(task.job, "DRAIN",
                      task.text + " starts on " + worker + " " +
                          std::to_string(monotonic_now() - draining->second) +
                          " ms after the store accepted that it drains");
    }
}

void invariant_checker::end_acknowledged(const task_name& task, const std::string& reason) {
    const auto found = jobs.find(task.job);
    if (found == jobs.end()) {
        return;
    }
    if (reason == "done") {
        acknowledged_completions_.insert(task_key(task.job, task.step, task.index));
    } else if (reason == "failed") {
        ++acknowledged_failures_[attempt_key(found->second, task)];
    }
}

void invariant_checker::state_shown(const std::string& job, const std::string& state) {
    caller_view& view = jobs.at(job);
    view.last_state = state;
    if (state == "completed") {
        for (std::size_t s = 0; s < view.shape.steps.size(); ++s) {
            if (!is_step_complete(job, static_cast<int>(s))) {
                add_violation(job, "MIXED",
                              job + " is shown as completed while step " + std::to_string(s) +
                                  " is not complete");
            }
        }
    }
    if (state == "cancelled" && view.cancel_confirmed_at == 0 && !view.outcome_unknown) {
        add_violation(job, "LOST", job + " is shown as cancelled but no caller cancelled it");
    }
    if (state == "failed") {
        bool cause = false;
        for (const auto& [key, count] : acknowledged_failures_) {
            cause = cause || (key.starts_with(job + ".") && count >= max_attempts);
        }
        for (const auto& [key, count] : crashes_) {
            cause = cause || (key.starts_with(job + ".") && count >= crashes_to_give_up);
        }
        if (!cause) {
            add_violation(job, "LOST",
                          job + " is shown as failed but no task used up its attempts");
        }
    }
}

void invariant_checker::job_not_found(const std::string& job) {
    const caller_view& view = jobs.at(job);
    if (view.accepted && monotonic_now() > view.accepted_at + visibility_ms) {
        add_violation(job, "LOST", job + " was accepted but reported as unknown");
    }
}

void invariant_checker::check_final_state() {
    for (const auto& [id, view] : jobs) {
        if (!view.accepted && !view.outcome_unknown && started_jobs_.contains(id)) {
            add_violation(id, "REFUSED", id + " was refused on every attempt but has run");
        }
        if (view.accepted && view.cancel_confirmed_at == 0 && !is_final(view.last_state)) {
            add_violation(id, "LOST",
                          id + " was accepted but its last state is '" + view.last_state + "'");
        }
    }
}

} // namespace fulmarworks::soak
