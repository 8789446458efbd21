#include "scheduler/codec.h"

#include "base/json.h"

#include <algorithm>
#include <map>

namespace fulmarworks::scheduler {

namespace {

/** First element of every record: the layout of a submission, and those of progress that can be
 * read. Records of another layout are rejected. */
constexpr int submission_layout = 1;
constexpr int progress_layout = 2;
constexpr int earlier_progress_layout = 1;

std::string pack(const json& j) {
    std::string bytes;
    json::to_msgpack(j, nlohmann::detail::output_adapter<char, std::string>(bytes));
    return bytes;
}

result<json> unpack(std::string_view data, std::initializer_list<int> layouts) {
    auto parsed = parse_msgpack(data);
    if (!parsed) {
        return parsed.error();
    }
    json& j = parsed.value();
    const bool known =
        j.is_array() && !j.empty() &&
        std::any_of(layouts.begin(), layouts.end(), [&](int layout) { return j[0] == layout; });
    if (!known) {
        return error{error_kind::malformed_data, "stored record has an unknown layout version",
                     "upgrade every instance to a release that supports this layout"};
    }
    return std::move(j);
}

template <class T>
void read(const json& j, T& value) {
    value = value_from_json<T>(j);
}

json encode_step(const step_spec& s) {
    return json::array({s.task_count, s.per_task.cpu_millis, s.per_task.memory_mb,
                        s.per_task.accelerators, s.estimate_ms, s.depends_on, s.required_label,
                        s.data_rack, s.max_tasks_per_worker, s.gang, s.same_rack, s.checkpoints,
                        s.long_running, s.fills_idle_cpu, s.max_unavailable});
}

step_spec decode_step(const json& j) {
    step_spec s;
    std::size_t i = 0;
    const auto next = [&](auto& value) { read(j.at(i++), value); };
    next(s.task_count);
    next(s.per_task.cpu_millis);
    next(s.per_task.memory_mb);
    next(s.per_task.accelerators);
    next(s.estimate_ms);
    next(s.depends_on);
    next(s.required_label);
    next(s.data_rack);
    next(s.max_tasks_per_worker);
    next(s.gang);
    next(s.same_rack);
    next(s.checkpoints);
    next(s.long_running);
    next(s.fills_idle_cpu);
    next(s.max_unavailable);
    return s;
}

/** All assigned phases are stored as one, as a new leader polls the worker in any case. */
enum class stored_phase { idle, assigned, complete };

stored_phase stored_phase_of(const task& t) {
    if (t.completed_earlier) {
        return stored_phase::complete;
    }
    switch (t.phase) {
    case task_phase::idle: return stored_phase::idle;
    case task_phase::complete: return stored_phase::complete;
    default: return stored_phase::assigned;
    }
}

/** Index of a task without a worker. */
constexpr int no_worker = -1;

/**
 * The workers that a progress record names. Tasks refer to them by index, because many tasks of a
 * job run on the same worker and the record is written at each change.
 */
class worker_table {
public:
    /** Returns the index of a worker, which is added if it is new; `no_worker` for an empty id. */
    int index_of(const worker_incarnation& where) {
        if (where.id.empty()) {
            return no_worker;
        }
        const auto [entry, added] = indices_.try_emplace(where, static_cast<int>(rows_.size()));
        if (added) {
            rows_.push_back(json::array({where.id, where.started_wall_ms}));
        }
        return entry->second;
    }

    [[nodiscard]] json take_rows() { return std::move(rows_); }

private:
    std::map<worker_incarnation, int> indices_;
    json rows_ = json::array();
};

worker_incarnation decode_worker(const json& rows, const json& index) {
    worker_incarnation where;
    const auto i = integer_from_json<int>(index);
    if (i != no_worker) {
        read(rows.at(static_cast<std::size_t>(i)).at(0), where.id);
        read(rows.at(static_cast<std::size_t>(i)).at(1), where.started_wall_ms);
    }
    return where;
}

/** Encodes a task as 0 (never placed), 1 (complete) or an array whose last elements are omitted if
 * they have their defaults. */
json encode_task(const task& t, worker_table& workers, bool with_checkpoints) {
    const stored_phase phase = stored_phase_of(t);
    if (phase == stored_phase::complete) {
        return 1;
    }
    if (t.run == 0 && phase == stored_phase::idle) {
        return 0;
    }
    const int where = phase == stored_phase::assigned ? workers.index_of(t.where) : no_worker;
    json j = json::array({t.run, where});
    const bool lost = lost_workers(t.losses) > 0;
    const std::string checkpoint = with_checkpoints ? t.checkpoint : "";
    if (t.failures > 0 || !checkpoint.empty() || !t.failed_on.empty() || lost) {
        j.push_back(t.failures);
        j.push_back(checkpoint);
        j.push_back(workers.index_of({t.failed_on, 0}));
    }
    if (lost) {
        j.push_back(t.losses.crashes);
        j.push_back(t.losses.start_crashes);
        j.push_back(t.losses.unresolved);
        j.push_back(t.losses.witnessed_crashes);
    }
    return j;
}

task decode_task(const json& j, const json& workers) {
    task t;
    if (j.is_number()) {
        t.phase = j == 1 ? task_phase::complete : task_phase::idle;
        return t;
    }
    read(j.at(0), t.run);
    t.where = decode_worker(workers, j.at(1));
    t.phase = t.where.id.empty() ? task_phase::idle : task_phase::unverified;
    if (j.size() > 2) {
        read(j.at(2), t.failures);
        read(j.at(3), t.checkpoint);
        t.failed_on = decode_worker(workers, j.at(4)).id;
    }
    if (j.size() > 5) {
        read(j.at(5), t.losses.crashes);
        read(j.at(6), t.losses.start_crashes);
        read(j.at(7), t.losses.unresolved);
    }
    if (j.size() > 8) {
        read(j.at(8), t.losses.witnessed_crashes);
    }
    return t;
}

/** Decodes a task of layout 1, in which each task names its workers. */
task decode_task_of_layout_1(const json& j) {
    task t;
    if (j.is_number()) {
        t.phase = j == 1 ? task_phase::complete : task_phase::idle;
        return t;
    }
    const auto phase = static_cast<stored_phase>(integer_from_json<int>(j.at(0)));
    read(j.at(1), t.run);
    read(j.at(2), t.failures);
    read(j.at(3), t.checkpoint);
    read(j.at(4), t.failed_on);
    if (phase == stored_phase::assigned) {
        t.phase = task_phase::unverified;
        read(j.at(5), t.where.id);
        read(j.at(6), t.where.started_wall_ms);
    }
    return t;
}

json encode_occurrence(const occurrence& o, worker_table& workers, bool with_checkpoints) {
    json steps = json::array();
    for (const auto& s : o.steps) {
        if (s.complete()) {
            steps.push_back(1);
            continue;
        }
        json tasks = json::array();
        for (const auto& t : s.tasks) {
            tasks.push_back(encode_task(t, workers, with_checkpoints));
        }
        steps.push_back(json::array({s.gang_failures, std::move(tasks), s.last_failed_gang_run}));
    }
    return steps;
}

template <class DecodeTask>
void decode_occurrence(const json& j, occurrence& o, const DecodeTask& decode) {
    for (std::size_t i = 0; i < o.steps.size(); ++i) {
        step_progress& s = o.steps[i];
        const json& stored = j.at(i);
        if (!stored.is_number()) {
            read(stored.at(0), s.gang_failures);
            if (stored.size() > 2) { // missing in records of earlier releases
                read(stored.at(2), s.last_failed_gang_run);
            }
        }
        for (std::size_t k = 0; k < s.tasks.size(); ++k) {
            if (stored.is_number()) {
                s.tasks[k].phase = task_phase::complete;
            } else {
                s.tasks[k] = decode(stored.at(1).at(k));
            }
            s.complete_count += s.tasks[k].phase == task_phase::complete ? 1 : 0;
        }
    }
}

json encode_policy(const queue_policy& policy, std::uint64_t version) {
    return json::array({version, policy.pool, policy.priority, policy.max_attempts,
                        policy.slack_factor, policy.latency_objective_ms});
}

/** Decodes a policy, unless the submission has been repeated since and has a newer one. */
void decode_policy(const json& stored, job& j) {
    std::uint64_t version = 0;
    queue_policy policy;
    std::size_t i = 0;
    const auto next = [&](auto& value) { read(stored.at(i++), value); };
    next(version);
    next(policy.pool);
    next(policy.priority);
    next(policy.max_attempts);
    next(policy.slack_factor);
    next(policy.latency_objective_ms);
    if (version > j.policy_version) {
        j.policy = std::move(policy);
        j.policy_version = version;
    }
}

std::string pack_progress(const job& j, bool with_checkpoints) {
    json occurrences = json::array();
    worker_table workers;
    for (const auto& o : j.occurrences) {
        occurrences.push_back(o.complete() ? json(1)
                                           : encode_occurrence(o, workers, with_checkpoints));
    }
    json record = json::array({progress_layout, j.cancel_requested, j.failed, j.started,
                               std::move(occurrences), workers.take_rows()});
    if (j.policy_version != j.spec.policy_version) {
        record.push_back(encode_policy(j.policy, j.policy_version));
    }
    return pack(record);
}

template <class Decode>
result<void> decode_or_error(const Decode& decode) {
    try {
        decode();
    } catch (const json::exception& e) {
        return error{error_kind::malformed_data,
                     std::string("malformed stored record: ") + e.what(),
                     "check that the instances that wrote and read it run compatible releases"};
    }
    return boost::outcome_v2::success();
}

} // namespace

std::string encode_job_spec(const job_spec& spec) {
    json steps = json::array();
    for (const auto& s : spec.steps) {
        steps.push_back(encode_step(s));
    }
    return pack(
        json::array({submission_layout, spec.account, spec.queue, spec.policy.pool, spec.payload,
                     spec.policy.priority, spec.policy.max_attempts, spec.policy.slack_factor,
                     spec.policy.latency_objective_ms, spec.accepted_wall_ms, std::move(steps),
                     spec.repeat_count, spec.first_start_wall_ms, spec.repeat_interval_ms,
                     spec.accepted_by, spec.policy_version}));
}

result<job_spec> decode_job_spec(std::string_view data) {
    const auto unpacked = unpack(data, {submission_layout});
    if (!unpacked) {
        return unpacked.error();
    }
    const json& j = unpacked.value();
    job_spec spec;
    const auto decoded = decode_or_error([&] {
        std::size_t i = 1;
        const auto next = [&](auto& value) { read(j.at(i++), value); };
        next(spec.account);
        next(spec.queue);
        next(spec.policy.pool);
        next(spec.payload);
        next(spec.policy.priority);
        next(spec.policy.max_attempts);
        next(spec.policy.slack_factor);
        next(spec.policy.latency_objective_ms);
        next(spec.accepted_wall_ms);
        for (const json& step : j.at(i++)) {
            spec.steps.push_back(decode_step(step));
        }
        next(spec.repeat_count);
        next(spec.first_start_wall_ms);
        next(spec.repeat_interval_ms);
        // Records of earlier releases lack the last ones.
        if (i < j.size()) {
            next(spec.accepted_by);
        }
        if (i < j.size()) {
            next(spec.policy_version);
        }
    });
    if (!decoded) {
        return decoded.error();
    }
    if (const auto violation = find_violation(spec); !violation.empty()) {
        return error{error_kind::malformed_data, "invalid stored job: " + std::string(violation),
                     "delete its submission or run the release that accepted it"};
    }
    return spec;
}

std::string encode_progress(const job& j) {
    std::string whole = pack_progress(j, true);
    return whole.size() <= max_progress_bytes ? std::move(whole) : pack_progress(j, false);
}

result<void> decode_progress(std::string_view data, job& j) {
    const auto unpacked = unpack(data, {progress_layout, earlier_progress_layout});
    if (!unpacked) {
        return unpacked.error();
    }
    const json& stored = unpacked.value();
    return decode_or_error([&] {
        read(stored.at(1), j.cancel_requested);
        read(stored.at(2), j.failed);
        read(stored.at(3), j.started);
        const bool earlier_layout = stored.at(0) == earlier_progress_layout;
        const json no_workers = json::array();
        const json& workers = earlier_layout ? no_workers : stored.at(5);
        constexpr std::size_t policy_index = 6; // only present if the policy has changed
        if (stored.size() > policy_index) {
            decode_policy(stored.at(policy_index), j);
        }
        const auto decode = [&](const json& t) {
            return earlier_layout ? decode_task_of_layout_1(t) : decode_task(t, workers);
        };
        if (stored.at(4).size() > std::max<std::size_t>(j.spec.repeat_count, 1)) {
            constexpr int other_error_id = 501;
            // NOLINTNEXTLINE(hicpp-exception-baseclass)
            throw json::other_error::create(other_error_id, "more occurrences than the job has",
                                            &stored);
        }
        for (const json& o : stored.at(4)) {
            occurrence restored =
                make_occurrence(j.spec, static_cast<std::uint32_t>(j.occurrences.size()));
            if (o.is_number()) {
                for (auto& s : restored.steps) {
                    s.complete_count = static_cast<std::uint32_t>(s.tasks.size());
                    for (auto& t : s.tasks) {
                        t.phase = task_phase::complete;
                    }
                }
            } else {
                decode_occurrence(o, restored, decode);
            }
            j.occurrences.push_back(std::move(restored));
        }
    });
}

} // namespace fulmarworks::scheduler
