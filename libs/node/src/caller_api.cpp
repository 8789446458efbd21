#include "caller_api.h"

#include "base/json.h"
#include "callback_owner.h"
#include "platform/documents.h"
#include "scheduler/codec.h"
#include "timing.h"

#include <algorithm>
#include <charconv>

namespace fulmarworks::node {

namespace {

/** Patience assumed of a caller that doesn't state it. */
constexpr time_ms default_patience_ms = 3000;
/** Part of a caller's patience that is left for the way of the answer. */
constexpr time_ms answer_margin_ms = 300;
/** Longest time for which a question is tried here before another host should be. */
constexpr time_ms longest_try_ms = 1600;
/** Time for which a submission that nobody can store is tried; covers a single lost connection. */
constexpr time_ms refused_try_ms = 500;
constexpr time_ms forward_timeout_ms = 700;
/** A caller that is turned away returns after about a change of the leader ... */
constexpr time_ms shortest_come_back_ms = 1000;
/** ... or later, but within the patience of a person who waits. */
constexpr time_ms longest_come_back_ms = 4000;
/** An attempt with less time than this is not worth making. */
constexpr time_ms shortest_attempt_ms = 50;

/** Questions that one entry host asks another. */
constexpr std::string_view query_path = "/v1/leader/job/";
constexpr std::string_view cancel_path = "/v1/leader/cancel/";
constexpr std::string_view pending_path = "/v1/leader/pending/";

time_ms patience_of(const http_request& request) {
    const std::string& text = request.headers[caller_patience];
    time_ms value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && value > 0 ? value : default_patience_ms;
}

/** A refusal that says the request has not run. */
http_response unavailable(time_ms come_back_ms = shortest_come_back_ms) {
    http_response response = empty_response(503);
    response.retry_after_ms = come_back_ms;
    response.close_connection = true;
    return response;
}

/** The request may or may not have been carried out; the caller may send it again. */
http_response undecided() {
    http_response response = empty_response(504);
    response.close_connection = true;
    return response;
}

http_response state_response(const job_answer& answer) {
    if (!answer.ready) {
        return unavailable();
    }
    if (!answer.known) {
        return empty_response(410);
    }
    http_response response;
    response.body = answer.state.empty() ? "{}" : json({{"state", answer.state}}).dump();
    return response;
}

http_response pending_response(const leader* term, const std::string& queue) {
    if (term == nullptr || !term->ready()) {
        return unavailable();
    }
    http_response response;
    response.body = json({{"pending", term->pending(queue)}}).dump();
    return response;
}

} // namespace

struct caller_api::impl : callback_owner<impl> {
    caller_context context;

    explicit impl(caller_context c) : context(std::move(c)) {}

    /** A submission that is being stored. */
    struct submission {
        std::string id;
        std::string record;
        /** End of the attempts while none was left undecided: the caller is told to come back. */
        time_ms refuse_at = 0;
        /** End of the attempts once one is undecided, as the caller may not send it again then. */
        time_ms give_up_at = 0;
        time_ms began_at = 0;
        int attempts = 0;
        /** An attempt got no answer, so the job may be stored. */
        bool undecided = false;
        respond_handler respond;
    };

    /** A question that only the leader can answer. */
    struct question {
        std::string id;
        std::string target;
        std::string method;
        time_ms give_up_at = 0;
        std::function<void(leader&, std::function<void(const http_response&)>)> ask;
        respond_handler respond;
    };

    /**
     * Refuses with when to come back. An outage that has lasted for a while is likely to last as
     * long again, so callers come back later the longer it has lasted; each has only a few retries.
     */
    [[nodiscard]] http_response come_back() const {
        return unavailable(std::clamp(context.store.unavailable_for_ms(), shortest_come_back_ms,
                                      longest_come_back_ms));
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
        spec.policy = call.queue->terms;
        spec.accepted_wall_ms = wall_now();
        auto open = std::make_shared<submission>();
        open->id = call.job;
        open->record = scheduler::encode_job_spec(spec);
        open->began_at = boottime_now();
        open->give_up_at = open->began_at + patience_of(request) - answer_margin_ms;
        open->refuse_at = std::min(open->give_up_at, open->began_at + refused_try_ms);
        open->respond = std::move(respond);
        store(open);
    }

    void store(const std::shared_ptr<submission>& open) {
        ++open->attempts;
        if (context.store.unavailable()) {
            store_through_peer(open);
            return;
        }
        platform::append_request append;
        append.log_topic = platform::topic::submissions;
        append.records = {{open->id, open->record}};
        append.timeout_ms = std::clamp(open->give_up_at - boottime_now(), shortest_attempt_ms,
                                       submission_timeout_ms);
        context.store.append(append,
                             guarded([open](impl& i, const platform::append_outcome& outcome) {
                                 i.store_done(open, outcome.status);
                             }));
    }

    void store_through_peer(const std::shared_ptr<submission>& open) {
        context.others.append_submission(open->id, open->record,
                                         guarded([open](impl& i, platform::store_status outcome) {
                                             i.store_done(open, outcome);
                                         }));
    }

    void store_done(const std::shared_ptr<submission>& open, platform::store_status outcome) {
        const time_ms now = boottime_now();
        if (outcome == platform::store_status::ok) {
            context.counters.count("submissions_total", "outcome", "accepted");
            context.counters.observe_ms("submission_ms", static_cast<double>(now - open->began_at));
            context.log.write("job_accepted",
                              "request=" + open->id +
                                  " attempts=" + std::to_string(open->attempts) +
                                  " took_ms=" + std::to_string(now - open->began_at));
            open->respond(empty_response(200));
            return;
        }
        open->undecided = open->undecided || outcome == platform::store_status::no_answer;
        context.counters.count("store_retries_total", "call", "submission");
        if (now < (open->undecided ? open->give_up_at : open->refuse_at)) {
            later(context.loop, retry_pause_ms, [open](impl& i) { i.store(open); });
            return;
        }
        if (open->undecided) {
            refuse("store_silent", open->id, undecided(), open->respond);
        } else {
            refuse("store_unavailable", open->id, come_back(), open->respond);
        }
    }

    void ask(const std::shared_ptr<question>& q) {
        if (leader* term = context.own_term()) {
            q->ask(*term,
                   guarded([q](impl& i, const http_response& response) { i.asked(q, response); }));
            return;
        }
        const std::string address = context.leader_address();
        if (address.empty()) {
            asked(q, unavailable());
            return;
        }
        http_call call;
        call.method = q->method;
        call.address = address;
        call.target = q->target;
        call.timeout_ms = forward_timeout_ms;
        context.http.send(call, guarded([q](impl& i, const http_answer& answer) {
                              http_response response = answer.status == 0
                                                           ? unavailable()
                                                           : empty_response(answer.status);
                              response.body = answer.body.empty() ? "{}" : answer.body;
                              i.asked(q, response);
                          }));
    }

    void asked(const std::shared_ptr<question>& q, const http_response& response) {
        const bool final_answer = response.status == 200 || response.status == 410;
        if (!final_answer && boottime_now() < q->give_up_at) {
            context.counters.count("leader_retries_total", "status",
                                   std::to_string(response.status));
            later(context.loop, retry_pause_ms, [q](impl& i) { i.ask(q); });
            return;
        }
        if (!final_answer) {
            refuse("no_leader", q->id, come_back(), q->respond);
            return;
        }
        q->respond(response);
    }

    void start_question(
        std::string id, std::string target, std::string method, const http_request& request,
        respond_handler respond,
        std::function<void(leader&, std::function<void(const http_response&)>)> ask_leader) {
        auto q = std::make_shared<question>();
        q->id = std::move(id);
        q->target = std::move(target);
        q->method = std::move(method);
        q->give_up_at =
            boottime_now() + std::min(patience_of(request) - answer_margin_ms, longest_try_ms);
        q->ask = std::move(ask_leader);
        q->respond = std::move(respond);
        ask(q);
    }

    void query(const std::string& job, const http_request& request, respond_handler respond) {
        start_question(
            job, std::string(query_path) + job, "GET", request, std::move(respond),
            [job](leader& term, const auto& done) {
                term.query(job, [done](const job_answer& answer) { done(state_response(answer)); });
            });
    }

    void cancel(const std::string& job, const http_request& request, respond_handler respond) {
        start_question(job, std::string(cancel_path) + job, "POST", request, std::move(respond),
                       [job](leader& term, const auto& done) {
                           term.cancel(job, [done](const job_answer& answer) {
                               done(state_response(answer));
                           });
                       });
    }

    void queue_length(const std::string& queue, const http_request& request,
                      respond_handler respond) {
        start_question(
            "-", std::string(pending_path) + queue, "GET", request, std::move(respond),
            [queue](leader& term, const auto& done) { done(pending_response(&term, queue)); });
    }
};

caller_api::caller_api(caller_context context)
    : impl_(std::make_shared<impl>(std::move(context))) {}

caller_api::~caller_api() = default;

void caller_api::handle(const http_request& request, respond_handler respond) {
    const auto config = impl_->context.configuration();
    const gateway::request_head line{request.method, request.headers[caller_host], request.path,
                                     request.headers[caller_key]};
    const gateway::classified_call kind = gateway::classify(config.get(), line);
    if (const auto* refused = std::get_if<gateway::refusal>(&kind)) {
        const std::string name(gateway::name_of(*refused));
        const int status = gateway::status_of(*refused);
        impl_->refuse(name.c_str(), "-",
                      status == 503 ? impl_->come_back() : empty_response(status), respond);
    } else if (const auto* submit = std::get_if<gateway::submit_job>(&kind)) {
        impl_->submit(*submit, request, *config, std::move(respond));
    } else if (const auto* query = std::get_if<gateway::query_job>(&kind)) {
        impl_->query(query->job, request, std::move(respond));
    } else if (const auto* cancel = std::get_if<gateway::cancel_job>(&kind)) {
        impl_->cancel(cancel->job, request, std::move(respond));
    } else if (const auto* length = std::get_if<gateway::query_queue>(&kind)) {
        impl_->queue_length(length->queue->name, request, std::move(respond));
    }
}

void caller_api::handle_forwarded(const http_request& request, respond_handler respond) {
    leader* term = impl_->context.own_term();
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
        // An asker repeats a question that was not understood; no answer may be guessed here.
        respond(empty_response(400));
    }
}

} // namespace fulmarworks::node
