#include "api_router.h"

#include "base/digest.h"
#include "instance/job_report.h"
#include "ledger/snapshot.h"
#include "request_parser.h"

namespace fulmarworks {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_not_allowed = 405;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr time_ms default_retry_after_ms = 1000;
/** Longest wait of a result request until this instance has read records that another instance has
 * already reported to the caller; equal to the retry-after of a refusal. */
constexpr time_ms catch_up_limit_ms = default_retry_after_ms;
constexpr time_ms catch_up_poll_interval_ms = 20;

void respond_json(router_context& c, std::uint64_t token, int status, const json& body,
                  time_ms retry_after_ms = 0) {
    c.server.respond(token,
                     {status, body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n",
                      "application/json", retry_after_ms});
}

void respond_error(router_context& c, std::uint64_t token, int status, std::string_view reason,
                   const std::string& message, time_ms retry_after_ms = 0) {
    const json body = {{"state", "refused"}, {"reason", reason}, {"message", message}};
    respond_json(c, token, status, body, retry_after_ms);
}

void respond_unknown_job(router_context& c, std::uint64_t token) {
    respond_error(c, token, status_not_found, "unknown_job",
                  "no such job; check the account and request id");
}

void submit(router_context& c, const http_request& r, std::uint64_t token) {
    auto parsed = parse_submission(r.body, wall_now(), c.state.settings.limits);
    if (!parsed) {
        respond_error(c, token, status_bad_request, "bad_request", describe(parsed.error()));
        return;
    }
    c.handle(caller_submitted{token, std::move(parsed.value().request), parsed.value().wait_ms});
}

void publish(router_context& c, const http_request& r, std::uint64_t token) {
    auto parsed = parse_publish(r.body);
    if (!parsed) {
        respond_error(c, token, status_bad_request, "bad_request", describe(parsed.error()));
        return;
    }
    parsed_publish& p = parsed.value();
    c.handle(caller_published{token, std::move(p.publish_id), p.based_on, std::move(p.document)});
}

void relay_result(router_context& c, std::uint64_t token, const std::string& id,
                  const http_answer& answer) {
    const job* j = find_job(c.state.ledger, id);
    if (j == nullptr || j->phase != job_phase::done) {
        respond_error(c, token, status_conflict, "not_done", "the job is not done; ask again",
                      default_retry_after_ms);
        return;
    }
    if (answer.status == status_ok) {
        if (answer.body.size() == j->result.size && digest(answer.body) == j->result.digest) {
            c.server.respond(token, {status_ok, answer.body, "application/octet-stream"});
        } else {
            respond_error(c, token, status_bad_gateway, "result_damaged",
                          "the result arrived damaged; ask again", default_retry_after_ms);
        }
        return;
    }
    if (answer.status != status_not_found) {
        respond_error(c, token, status_unavailable, "worker_unreachable",
                      "the holder of the result does not answer; ask again",
                      default_retry_after_ms);
        return;
    }
    const job_class* jc = class_of(c.state.ledger, *j);
    if (jc != nullptr && jc->repeatable) {
        c.handle(result_missing{id, j->attempt});
        respond_error(c, token, status_conflict, "result_lost",
                      "the result was lost and is made again; ask again", default_retry_after_ms);
    } else {
        respond_error(c, token, status_gone, "result_lost",
                      "the job ran once but its result was lost with its worker");
    }
}

void fetch_result(router_context& c, const job& j, std::uint64_t token) {
    if (j.phase != job_phase::done) {
        respond_error(c, token, status_conflict, "not_done",
                      "the job is " + report_job(c.state.ledger, j).state + "; ask again later",
                      default_retry_after_ms);
        return;
    }
    if (j.result.size == j.result.inlined.size()) {
        c.server.respond(token, {status_ok, j.result.inlined, "application/octet-stream"});
        return;
    }
    const auto listed = c.state.host_list.find(j.result.holder);
    if (listed == c.state.host_list.end()) {
        relay_result(c, token, j.id, {});
        return;
    }
    // Captures copies because the response may arrive after the job has changed or been removed.
    const auto relay = [c, token, id = j.id](const http_answer& answer) mutable {
        relay_result(c, token, id, answer);
    };
    c.workers.fetch_result(listed->second.address, j.id, j.attempt, relay);
}

/** Responds with the result of a job once this instance has read that the job ended. Responds with
 * the current state at `deadline`, in monotonic time. */
void answer_result(router_context& c, const std::string& id, std::uint64_t token,
                   time_ms deadline) {
    const job* j = find_job(c.state.ledger, id);
    const bool ended = j != nullptr && is_final(j->phase);
    if (!ended && monotonic_now() < deadline) {
        c.after(catch_up_poll_interval_ms,
                [c, id, token, deadline]() mutable { answer_result(c, id, token, deadline); });
    } else if (j == nullptr) {
        respond_unknown_job(c, token);
    } else {
        fetch_result(c, *j, token);
    }
}

std::vector<std::string> split_path(std::string_view path) {
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start < path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        if (end > start) {
            parts.emplace_back(path.substr(start, end - start));
        }
        start = end + 1;
    }
    return parts;
}

void route_job(router_context& c, const http_request& r, std::span<const std::string> parts,
               std::uint64_t token) {
    const std::string id = job_id_of(parts[2], parts[3]);
    const std::string action = parts.size() > 4 ? parts[4] : "";
    if (r.method == "POST" && action == "cancel") {
        c.handle(caller_cancelled{token, id});
        return;
    }
    if (r.method != "GET") {
        respond_error(c, token, status_not_allowed, "bad_request", "use GET, or POST .../cancel");
        return;
    }
    if (action.empty()) {
        c.handle(caller_queried{token, id, query_number(r.query, "wait_ms", 0)});
        return;
    }
    if (action == "result") {
        answer_result(c, id, token, monotonic_now() + catch_up_limit_ms);
        return;
    }
    const job* j = find_job(c.state.ledger, id);
    if (j == nullptr) {
        respond_unknown_job(c, token);
    } else if (action == "explain") {
        respond_json(c, token, status_ok, explain_job(c.state.ledger, *j));
    } else {
        respond_error(c, token, status_not_found, "bad_request", "no such call; see docs/API.md");
    }
}

json describe_hosts(const ledger_state& s) {
    json hosts = json::array();
    for (host_index h = 0; h < s.hosts.hosts().size(); ++h) {
        const host& state = s.hosts.hosts()[h];
        hosts.push_back({{"host", state.name},
                         {"rack", s.hosts.racks()[state.rack].name},
                         {"status", to_string(state.status)},
                         {"quarantined", state.quarantined},
                         {"tasks", state.tasks},
                         {"used_accelerators", std::popcount(state.used)},
                         {"planned_accelerators", std::popcount(state.planned)},
                         {"owner", s.rack_owners[state.rack].instance}});
    }
    return json{{"hosts", hosts}, {"guarantees", s.cells}};
}

json describe_state(const instance_state& s) {
    return json{{"instance", s.settings.name},      {"next_offset", s.ledger.next_offset},
                {"digest", state_digest(s.ledger)}, {"config_version", s.ledger.config_version},
                {"instances", s.ledger.instances},  {"ready", is_ready(s)}};
}

bool route_fixed_path(router_context& c, const http_request& r, std::uint64_t token) {
    const instance_state& s = c.state;
    if (r.path == "/healthz") {
        c.server.respond(token, {status_ok, "ok\n", "text/plain"});
    } else if (r.path == "/readyz") {
        const bool ready = is_ready(s);
        c.server.respond(token, {ready ? status_ok : status_unavailable,
                                 ready ? "ready\n" : "not ready\n", "text/plain"});
    } else if (r.path == "/metrics") {
        c.server.respond(token, {status_ok, c.metrics(), "text/plain; version=0.0.4"});
    } else if (r.path == "/v1/hosts" && r.method == "GET") {
        respond_json(c, token, status_ok, describe_hosts(s.ledger));
    } else if (r.path == "/v1/state" && r.method == "GET") {
        respond_json(c, token, status_ok, describe_state(s));
    } else if (r.path == "/v1/configuration" && r.method == "GET") {
        respond_json(c, token, status_ok,
                     {{"version", s.ledger.config_version}, {"configuration", s.ledger.config}});
    } else if (r.path == "/v1/configuration" && r.method == "POST") {
        publish(c, r, token);
    } else if (r.path == "/v1/jobs" && r.method == "POST") {
        submit(c, r, token);
    } else {
        return false;
    }
    return true;
}

} // namespace

void route_request(router_context& c, const http_request& request, std::uint64_t token) {
    if (route_fixed_path(c, request, token)) {
        return;
    }
    const auto parts = split_path(request.path);
    const bool is_job =
        parts.size() >= 4 && parts.size() <= 5 && parts[0] == "v1" && parts[1] == "jobs";
    if (is_job) {
        route_job(c, request, parts, token);
    } else {
        respond_error(c, token, status_not_found, "bad_request", "no such call; see docs/API.md");
    }
}

} // namespace fulmarworks
