#include "caller_api.h"

#include "base/json.h"
#include "callback_owner.h"
#include "caller_responses.h"
#include "platform/documents.h"
#include "scheduler/codec.h"
#include "timing.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fulmarworks::node {

namespace {

/** Part of the caller timeout that is reserved for the network delay of the answer. */
constexpr time_ms response_margin_ms = 300;
/** Longest time for which a call to the leader is retried; the caller can then try another host. */
constexpr time_ms max_leader_call_time_ms = 1600;
/** Time for which a submission is retried while neither the store nor a peer accepts it; covers a
 * single lost connection. */
constexpr time_ms refused_retry_time_ms = 500;
/** Timeout of one call that is forwarded to the leader. */
constexpr time_ms forward_timeout_ms = 700;
/** Longest Retry-After of a refused request: acceptable to a person who waits for the answer. */
constexpr time_ms max_retry_after_ms = 4000;
/** Shortest timeout of an attempt; an attempt with less time would hardly succeed. */
constexpr time_ms min_attempt_timeout_ms = 50;

/** Paths of the calls that entry hosts forward to the leader. */
constexpr std::string_view query_path = "/v1/leader/job/";
constexpr std::string_view cancel_path = "/v1/leader/cancel/";
constexpr std::string_view pending_path = "/v1/leader/pending/";

} // namespace

struct caller_api::impl : callback_owner<impl> {
    caller_context context;

    explicit impl(caller_context c) : context(std::move(c)) {}

    /** A call that has not been answered yet. */
    struct open_call {
        std::string id;
        /** Whether an attempt got no answer, so that the call may have been executed. */
        bool maybe_executed = false;
        /** Whether an attempt that changes something is under way. */
        bool attempt_open = false;
        respond_handler respond;
    };

    struct submission : open_call {
        std::string record;
        /** End of the retries if all attempts were refused; the caller then gets a Retry-After. */
        time_ms refusal_deadline = 0;
        /** End of the retries once the outcome of an attempt is unknown. Retries go on for longer
         * then, because the caller might not send the request again. */
        time_ms deadline = 0;
        time_ms started_at = 0;
        int attempts = 0;
    };

    /** A call that only the leader can answer. */
    struct leader_call : open_call {
        std::string target;
        std::string method;
        time_ms deadline = 0;
        std::function<void(leader&, std::function<void(const http_response&)>)> call_local;

        [[nodiscard]] bool changes_job() const { return method != "GET"; }
    };

    std::set<std::shared_ptr<open_call>> open_calls;
    /** Whether nothing is attempted any more, as the process ends. */
    bool closed = false;

    /** Does nothing if the call has been answered. */
    void answer(const std::shared_ptr<open_call>& open, const http_response& response) {
        if (open_calls.erase(open) > 0) {
            open->respond(response);
        }
    }

    void close() {
        closed = true;
        for (const auto& open : std::exchange(open_calls, {})) {
            const bool unknown = open->maybe_executed || open->attempt_open;
            refuse("host_stopping", open->id, unknown ? outcome_unknown() : retry_later(),
                   open->respond);
        }
    }

    /**
     * Returns a refusal with a Retry-After as long as the current store outage. An outage that has
     * lasted for a while is likely to last as long again, and callers make only a few retries.
     */
    [[nodiscard]] http_response retry_later() const {
        return unavailable(
            std::clamp(context.store.unavailable_for_ms(), min_retry_after_ms, max_retry_after_ms));
    }

    void refuse(const char* reason, const std::string& id, const http_response& response,
                const respond_handler& respond) {
        context.counters.count("refusals_total", "reason", reason);
        context.log.write("request_refused", "request=" + id + " reason=" + reason +
                                                 " status=" + std::to_string(response.status));
        respond(response);
    }

    void submit(const gateway::submit_job& call, const http_request& request,
                const gateway::configuration& config, respond_handler respond) {
        if (request.body.size() > config.max_body_bytes) {
            refuse("body_too_large", call.job, empty_response(413), respond);
            return;
        }
        auto decoded = platform::decode_submission(request.body);
        if (!decoded) {
            refuse("malformed_job", call.job, empty_response(400), respond);
            return;
        }
        scheduler::job_spec& spec = decoded.value();
        spec.account = call.account;
        spec.queue = call.queue->name;
        spec.policy = call.queue->policy;
        spec.policy_version = config.version;
        switch (context.admit(spec)) {
        case admission::admitted: break;
        case admission::too_large:
            refuse("job_too_large", call.job, empty_response(413), respond);
            return;
        case admission::backlog_full:
            refuse("backlog_full", call.job, unavailable(max_retry_after_ms), respond);
            return;
        }
        spec.accepted_wall_ms = wall_now();
        spec.accepted_by = context.internal_address;
        context.payloads.add(call.job, spec.payload);
        auto open = std::make_shared<submission>();
        open->id = call.job;
        open->record = scheduler::encode_job_spec(spec);
        open->started_at = boottime_now();
        open->deadline = open->started_at + caller_timeout_of(request) - response_margin_ms;
        open->refusal_deadline = std::min(open->deadline, open->started_at + refused_retry_time_ms);
        open->respond = std::move(respond);
        open_calls.insert(open);
        store(open);
    }

    void store(const std::shared_ptr<submission>& open) {
        if (closed) {
            return;
        }
        ++open->attempts;
        open->attempt_open = true;
        if (context.store.unavailable()) {
            store_through_peer(open);
            return;
        }
        platform::append_request append;
        append.log_topic = platform::topic::submissions;
        append.partition = context.store.submission_partition(open->id);
        append.records = {{open->id, open->record}};
        append.timeout_ms = std::clamp(open->deadline - boottime_now(), min_attempt_timeout_ms,
                                       submission_timeout_ms);
        context.store.append(append,
                             guarded([open](impl& i, const platform::append_outcome& outcome) {
                                 i.store_done(open, outcome.status);
                             }));
    }

    void store_through_peer(const std::shared_ptr<submission>& open) {
        context.peer_hosts.append_submission(
            open->id, open->record, guarded([open](impl& i, platform::store_status outcome) {
                i.store_done(open, outcome);
            }));
    }

    void store_done(const std::shared_ptr<submission>& open, platform::store_status outcome) {
        if (closed) {
            return;
        }
        open->attempt_open = false;
        const time_ms now = boottime_now();
        if (outcome == platform::store_status::ok) {
            context.counters.count("submissions_total", "outcome", "accepted");
            context.counters.observe_ms("submission_ms",
                                        static_cast<double>(now - open->started_at));
            context.log.write("job_accepted",
                              "request=" + open->id +
                                  " attempts=" + std::to_string(open->attempts) +
                                  " took_ms=" + std::to_string(now - open->started_at));
            answer(open, empty_response(200));
            return;
        }
        open->maybe_executed = open->maybe_executed || outcome == platform::store_status::no_answer;
        context.counters.count("store_retries_total", "call", "submission");
        if (now < (open->maybe_executed ? open->deadline : open->refusal_deadline)) {
            run_after(context.loop, retry_delay_ms, [open](impl& i) { i.store(open); });
            return;
        }
        open_calls.erase(open);
        if (open->maybe_executed) {
            refuse("store_silent", open->id, outcome_unknown(), open->respond);
        } else {
            refuse("store_unavailable", open->id, retry_later(), open->respond);
        }
    }

    void call_leader(const std::shared_ptr<leader_call>& open) {
        if (closed) {
            return;
        }
        if (leader* term = context.local_leader()) {
            open->attempt_open = open->changes_job();
            open->call_local(*term, guarded([open](impl& i, const http_response& response) {
                i.leader_answered(open, response);
            }));
            return;
        }
        const std::string address = context.leader_address();
        if (address.empty()) {
            leader_answered(open, unavailable());
            return;
        }
        open->attempt_open = open->changes_job();
        http_call call;
        call.method = open->method;
        call.address = address;
        call.target = open->target;
        call.timeout_ms = forward_timeout_ms;
        call.kind = "leader_forward";
        context.http.send(call, guarded([open](impl& i, const http_answer& answer) {
                              http_response response = answer.status == 0
                                                           ? unavailable()
                                                           : empty_response(answer.status);
                              response.body = answer.body.empty() ? "{}" : answer.body;
                              i.leader_answered(open, response);
                          }));
    }

    void leader_answered(const std::shared_ptr<leader_call>& open, const http_response& response) {
        if (closed) {
            return;
        }
        open->attempt_open = false;
        const bool final_answer = response.status == 200 || response.status == 410;
        if (!final_answer && boottime_now() < open->deadline) {
            context.refresh_leader();
            context.counters.count("leader_retries_total", "status",
                                   std::to_string(response.status));
            run_after(context.loop, retry_delay_ms, [open](impl& i) { i.call_leader(open); });
            return;
        }
        if (!final_answer) {
            open_calls.erase(open);
            refuse("no_leader", open->id, retry_later(), open->respond);
            return;
        }
        answer(open, response);
    }

    void start_leader_call(
        std::string id, std::string target, std::string method, const http_request& request,
        respond_handler respond,
        std::function<void(leader&, std::function<void(const http_response&)>)> call_local) {
        auto open = std::make_shared<leader_call>();
        open->id = std::move(id);
        open->target = std::move(target);
        open->method = std::move(method);
        open->deadline = boottime_now() + std::min(caller_timeout_of(request) - response_margin_ms,
                                                   max_leader_call_time_ms);
        open->call_local = std::move(call_local);
        open->respond = std::move(respond);
        open_calls.insert(open);
        call_leader(open);
    }

    void query(const std::string& job, const http_request& request, respond_handler respond) {
        start_leader_call(
            job, std::string(query_path) + job, "GET", request, std::move(respond),
            [job](leader& term, const auto& done) {
                term.query(job, [done](const job_answer& answer) { done(state_response(answer)); });
            });
    }

    void cancel(const std::string& job, const http_request& request, respond_handler respond) {
        start_leader_call(job, std::string(cancel_path) + job, "POST", request, std::move(respond),
                          [job](leader& term, const auto& done) {
                              term.cancel(job, [done](const job_answer& answer) {
                                  done(state_response(answer));
                              });
                          });
    }

    void queue_length(const std::string& queue, const http_request& request,
                      respond_handler respond) {
        start_leader_call(
            "-", std::string(pending_path) + queue, "GET", request, std::move(respond),
            [queue](leader& term, const auto& done) { done(pending_response(&term, queue)); });
    }
};

caller_api::caller_api(caller_context context)
    : impl_(std::make_shared<impl>(std::move(context))) {}

caller_api::~caller_api() = default;

void caller_api::close() {
    impl_->close();
}

std::size_t caller_api::open_calls() const {
    return impl_->open_calls.size();
}

void caller_api::handle(const http_request& request, respond_handler respond) {
    if (impl_->closed) {
        impl_->refuse("host_stopping", "-", impl_->retry_later(), respond);
        return;
    }
    if (impl_->open_calls.size() >= impl_->context.max_open_calls) {
        impl_->refuse("too_many_calls", "-", unavailable(), respond);
        return;
    }
    const auto config = impl_->context.configuration();
    const gateway::request_head line{request.method, request.headers[caller_host], request.path,
                                     request.headers[caller_key]};
    const gateway::classified_call call = gateway::classify(config.get(), line);
    if (const auto* refused = std::get_if<gateway::refusal>(&call)) {
        const std::string name(gateway::name_of(*refused));
        const int status = gateway::status_of(*refused);
        impl_->refuse(name.c_str(), "-",
                      status == 503 ? impl_->retry_later() : empty_response(status), respond);
    } else if (const auto* submit = std::get_if<gateway::submit_job>(&call)) {
        impl_->submit(*submit, request, *config, std::move(respond));
    } else if (const auto* query = std::get_if<gateway::query_job>(&call)) {
        impl_->query(query->job, request, std::move(respond));
    } else if (const auto* cancel = std::get_if<gateway::cancel_job>(&call)) {
        impl_->cancel(cancel->job, request, std::move(respond));
    } else if (const auto* queue_call = std::get_if<gateway::query_queue>(&call)) {
        impl_->queue_length(queue_call->queue->name, request, std::move(respond));
    }
}

void caller_api::handle_forwarded(const http_request& request, respond_handler respond) {
    leader* term = impl_->context.local_leader();
    if (term == nullptr) {
        respond(unavailable());
        return;
    }
    const auto answer = [respond](const job_answer& a) { respond(state_response(a)); };
    if (const auto job = path_argument(request, query_path)) {
        term->query(*job, answer);
    } else if (const auto cancelled = path_argument(request, cancel_path)) {
        term->cancel(*cancelled, answer);
    } else if (const auto queue = path_argument(request, pending_path)) {
        respond(pending_response(term, *queue));
    } else {
        // Status 400 makes the forwarding host retry; any final answer to an unknown path would be
        // wrong.
        respond(empty_response(400));
    }
}

} // namespace fulmarworks::node
