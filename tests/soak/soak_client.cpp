#include "soak_client.h"

#include <algorithm>
#include <array>

namespace fulmarworks::soak {

namespace {

constexpr const char* host_header = "soak.example";
constexpr const char* api_key = "soak-key";
constexpr time_ms caller_timeout_ms = 3000;
constexpr time_ms poll_interval_ms = 700;
constexpr time_ms retry_delay_ms = 200;
constexpr int max_retries = 4;

/** Path prefixes of the queues, as on the platform's sites; the index is the priority. */
constexpr std::array<const char*, 3> queues = {"/urgent/", "/normal/", "/bulk/"};

std::string state_of(const http_answer& answer) {
    const auto parsed = parse_json(answer.body);
    return parsed && parsed.value().is_object() ? parsed.value().value("state", "") : "";
}

json encode_submission(const job_shape& shape) {
    json steps = json::array();
    for (const auto& s : shape.steps) {
        json step = {{"count", s.tasks},
                     {"cpu", s.per_task.cpu_millis},
                     {"memMb", s.per_task.memory_mb},
                     {"gpu", s.per_task.accelerators},
                     {"estimateMs", s.run_ms},
                     {"dependsOn", s.depends_on}};
        if (s.gang) {
            step["gang"] = true;
        }
        steps.push_back(step);
    }
    return {{"spec", encode_shape(shape).dump()}, {"steps", steps}};
}

} // namespace

std::string soak_configuration() {
    json routes = json::array();
    for (std::size_t i = 0; i < queues.size(); ++i) {
        routes.push_back({{"name", "q" + std::to_string(i)},
                          {"host", host_header},
                          {"pathPrefix", queues[i]},
                          {"service", "pool"},
                          {"priority", i},
                          {"maxAttempts", 4},
                          {"slackFactor", 2.0},
                          {"targetLatencyMs", 1000},
                          {"timeoutMs", 3000}});
    }
    const json account = {{"name", "a"}, {"apiKeys", {api_key}}, {"guaranteed", {{"gpu", 8}}}};
    return json{{"version", 1},
                {"routes", routes},
                {"services", json::array({{{"name", "pool"}}})},
                {"tenants", json::array({account})}}
        .dump();
}

soak_client::soak_client(event_loop& loop, invariant_checker& checker,
                         std::vector<std::string> hosts, std::uint64_t seed)
    : loop_(loop), checker_(checker), http_(loop), hosts_(std::move(hosts)), random_(seed) {}

int soak_client::random_between(int low, int high) {
    return low + static_cast<int>(random_() % static_cast<std::uint64_t>(high - low + 1));
}

job_shape soak_client::random_shape() {
    const auto step = [&](int tasks, int accelerators, bool gang) {
        return step_shape{tasks, {1000, 1024, accelerators}, random_between(200, 900), gang, {}};
    };
    job_shape shape;
    switch (random_between(0, 3)) {
    case 0: shape.steps = {step(random_between(1, 3), random_between(1, 4), true)}; break;
    case 1: shape.steps = {step(random_between(2, 10), 1, false)}; break;
    case 2:
        shape.steps = {step(2, 1, false), step(random_between(2, 4), 2, true)};
        shape.steps[1].depends_on = {0};
        break;
    default: shape.steps = {step(1, 8, false)}; break;
    }
    return shape;
}

void soak_client::submit_random(bool cancel) {
    constexpr std::size_t id_digits = 16;
    std::string id;
    while (id.size() < id_digits) {
        id += "0123456789abcdef"[random_() % 16];
    }
    caller_view view;
    view.shape = random_shape();
    const std::size_t number = checker_.jobs.size() + 1;
    if (crashing_job_interval_ != 0 && number % crashing_job_interval_ == 0) {
        view.shape.steps.front().crashes_worker = true;
    }
    bodies_[id] = encode_submission(view.shape).dump();
    queues_[id] = queues[random_() % queues.size()];
    cancels_[id] = cancel;
    checker_.jobs[id] = std::move(view);
    submit(id, max_retries);
}

http_call soak_client::make_call(const std::string& method, const std::string& id) {
    http_call call;
    call.method = method;
    call.address = hosts_[random_() % hosts_.size()];
    call.target = queues_.at(id) + id;
    call.timeout_ms = caller_timeout_ms;
    call.headers = {{"Host", host_header},
                    {"X-Api-Key", api_key},
                    {"X-Fulmarworks-Deadline-Ms", std::to_string(caller_timeout_ms)}};
    return call;
}

void soak_client::submit(const std::string& id, int retries_left) {
    http_call call = make_call("POST", id);
    call.body = bodies_.at(id);
    http_.send(call, [this, id, retries_left](const http_answer& answer) {
        handle_submit_answer(id, retries_left, answer);
    });
}

void soak_client::handle_submit_answer(const std::string& id, int retries_left,
                                       const http_answer& answer) {
    ++answers_[answer.status];
    caller_view& view = checker_.jobs.at(id);
    if (answer.status == 200) {
        view.accepted = true;
        view.accepted_at = monotonic_now();
        query_state(id);
        if (cancels_.at(id)) {
            loop_.after(random_between(0, 1200), [this, id] { cancel(id); });
        }
        return;
    }
    const bool refused = answer.status == 503 || answer.status == 429;
    view.outcome_unknown = view.outcome_unknown || !refused;
    if (retries_left > 0) {
        const time_ms delay_ms = std::max<time_ms>(answer.retry_after_ms, retry_delay_ms);
        loop_.after(delay_ms, [this, id, retries_left] { submit(id, retries_left - 1); });
    }
}

void soak_client::query_state(const std::string& id) {
    http_.send(make_call("GET", id),
               [this, id](const http_answer& answer) { handle_state_answer(id, answer); });
}

void soak_client::handle_state_answer(const std::string& id, const http_answer& answer) {
    if (answer.status == 200) {
        checker_.state_shown(id, state_of(answer));
    } else if (answer.status == 410) {
        checker_.job_not_found(id);
    }
    if (!is_final(checker_.jobs.at(id).last_state)) {
        loop_.after(poll_interval_ms, [this, id] { query_state(id); });
    }
}

void soak_client::cancel(const std::string& id) {
    // A state query may return `cancelled` before the confirmation arrives.
    checker_.jobs.at(id).outcome_unknown = true;
    http_.send(make_call("DELETE", id), [this, id](const http_answer& answer) {
        if (answer.status == 200) {
            checker_.jobs.at(id).cancel_confirmed_at = monotonic_now();
        } else if (answer.status == 410) {
            checker_.job_not_found(id);
        } else {
            loop_.after(retry_delay_ms, [this, id] { cancel(id); });
        }
    });
}

std::size_t soak_client::unfinished_jobs() const {
    std::size_t unfinished = 0;
    for (const auto& [id, view] : checker_.jobs) {
        unfinished += view.accepted && !is_final(view.last_state) ? 1 : 0;
    }
    return unfinished;
}

bool soak_client::has_unfinished_sound_job() const {
    return std::any_of(checker_.jobs.begin(), checker_.jobs.end(), [](const auto& entry) {
        const caller_view& view = entry.second;
        const auto& steps = view.shape.steps;
        return view.accepted && !is_final(view.last_state) &&
               std::none_of(steps.begin(), steps.end(),
                            [](const step_shape& s) { return s.crashes_worker; });
    });
}

} // namespace fulmarworks::soak
