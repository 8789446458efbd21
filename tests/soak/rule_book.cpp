#include "rule_book.h"

#include <charconv>

namespace fulmarworks::soak {

namespace {

/** Bounds of the platform's rules: a confirmed cancellation, and an acknowledged job, take effect
 * everywhere within these. */
constexpr time_ms cancel_ms = 3000;
constexpr time_ms visible_ms = 3000;
/** Failed runs of one task that the soak's configuration allows. */
constexpr int max_attempts = 4;

std::string step_key(const std::string& job, int step, int index) {
    return job + "." + std::to_string(step) + "." + std::to_string(index);
}

/** All members of a gang end as one, so the first stands for all of them. */
std::string failure_key(const caller_view& view, const task_name& task) {
    const bool gang = view.shape.steps.at(task.step).gang;
    return step_key(task.job, task.step, gang ? 0 : task.index);
}

} // namespace

json encode_shape(const job_shape& shape) {
    json steps = json::array();
    for (const auto& s : shape.steps) {
        steps.push_back({s.tasks, s.per_task.cpu_millis, s.per_task.memory_mb,
                         s.per_task.accelerators, s.run_ms, s.gang, s.depends_on});
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
        shape.steps.push_back({s[0], {s[1], s[2], s[3]}, s[4], s[5], s[6]});
    }
    return shape;
}

task_name parse_task_name(const std::string& text) {
    task_name name{text, text.substr(0, text.find('.')), 0, 0};
    const std::size_t last = text.rfind('.');
    const std::size_t before = text.rfind('.', last - 1);
    std::from_chars(text.data() + last + 1, text.data() + text.size(), name.index);
    std::from_chars(text.data() + before + 1, text.data() + last, name.step);
    return name;
}

bool is_final(std::string_view state) {
    return state == "completed" || state == "failed" || state == "cancelled";
}

void rule_book::break_rule(const std::string& rule, const std::string& what) {
    broken_.push_back(rule + ": " + what);
}

bool rule_book::step_done(const std::string& job, int step) const {
    const int tasks = jobs.at(job).shape.steps.at(step).tasks;
    for (int i = 0; i < tasks; ++i) {
        if (!done_.contains(step_key(job, step, i))) {
            return false;
        }
    }
    return true;
}

void rule_book::started(const task_name& task, int run, const std::string& worker,
                        const scheduler::resources& used, const scheduler::resources& capacity) {
    ++starts_;
    const std::string what = task.text + " run " + std::to_string(run) + " on " + worker;
    const std::string key = step_key(task.job, task.step, task.index);
    const auto known = jobs.find(task.job);
    if (known == jobs.end()) {
        break_rule("UNASKED", what + " belongs to no job that was sent");
        return;
    }
    started_jobs_.insert(task.job);
    const auto other = running_.find(key);
    if (other != running_.end()) {
        break_rule("TWICE", what + " while it runs on " + other->second);
    }
    if (done_observed_.contains(key)) {
        break_rule("TWICE", what + " after its end was confirmed");
    }
    running_[key] = worker;
    if (!fits(used, capacity)) {
        break_rule("LIMIT", what + " exceeds the worker's capacity");
    }
    for (const int earlier : known->second.shape.steps.at(task.step).depends_on) {
        if (!step_done(task.job, earlier)) {
            break_rule("ORDER", what + " before step " + std::to_string(earlier) + " was done");
        }
    }
    const auto failed = failures_observed_.find(failure_key(known->second, task));
    if (failed != failures_observed_.end() && failed->second >= max_attempts) {
        break_rule("BUDGET", what + " after its last attempt had failed");
    }
    const time_ms cancelled_at = known->second.cancelled_at;
    if (cancelled_at != 0 && monotonic_now() > cancelled_at + cancel_ms) {
        break_rule("UNASKED", what + " long after its job was cancelled");
    }
}

void rule_book::ended(const task_name& task, const std::string& how) {
    running_.erase(step_key(task.job, task.step, task.index));
    const auto known = jobs.find(task.job);
    if (how != "done" || known == jobs.end()) {
        return;
    }
    const step_shape& step = known->second.shape.steps.at(task.step);
    if (!step.gang) {
        done_.insert(step_key(task.job, task.step, task.index));
        return;
    }
    // One such end stands for the whole gang.
    for (int i = 0; i < step.tasks; ++i) {
        done_.insert(step_key(task.job, task.step, i));
    }
}

void rule_book::observed(const task_name& task, const std::string& how) {
    const auto known = jobs.find(task.job);
    if (known == jobs.end()) {
        return;
    }
    if (how == "done") {
        done_observed_.insert(step_key(task.job, task.step, task.index));
    } else if (how == "failed") {
        ++failures_observed_[failure_key(known->second, task)];
    }
}

void rule_book::shown(const std::string& job, const std::string& state) {
    caller_view& view = jobs.at(job);
    view.last_state = state;
    if (state == "completed") {
        for (std::size_t s = 0; s < view.shape.steps.size(); ++s) {
            if (!step_done(job, static_cast<int>(s))) {
                break_rule("MIXED", job + " is shown as completed while step " + std::to_string(s) +
                                        " is not done");
            }
        }
    }
    if (state == "cancelled" && view.cancelled_at == 0 && !view.undecided) {
        break_rule("LOST", job + " is shown as cancelled and nobody cancelled it");
    }
    if (state == "failed") {
        bool cause = false;
        for (const auto& [key, count] : failures_observed_) {
            cause = cause || (key.starts_with(job + ".") && count >= max_attempts);
        }
        if (!cause) {
            break_rule("LOST", job + " is shown as failed without cause");
        }
    }
}

void rule_book::denied(const std::string& job) {
    const caller_view& view = jobs.at(job);
    if (view.accepted && monotonic_now() > view.accepted_at + visible_ms) {
        break_rule("LOST", job + " was accepted and is denied");
    }
}

void rule_book::check_end() {
    for (const auto& [id, view] : jobs) {
        if (!view.accepted && !view.undecided && started_jobs_.contains(id)) {
            break_rule("REFUSED", id + " was refused every time and has run");
        }
        if (view.accepted && view.cancelled_at == 0 && !is_final(view.last_state)) {
            break_rule("LOST", id + " was accepted and is shown as '" + view.last_state + "'");
        }
    }
}

} // namespace fulmarworks::soak
