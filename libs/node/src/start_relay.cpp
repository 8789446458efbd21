#include "start_relay.h"

#include "start_batch.h"

#include <memory>
#include <random>

namespace fulmarworks::node {

namespace {

/** A batch whose workers have not all answered. */
struct open_batch {
    std::vector<start_result> results;
    std::size_t unanswered = 0;
    std::function<void(const http_response&)> respond;
    /** Returns the clock for the answer. */
    std::function<clock_reading()> clock;

    void answer_if_complete() const {
        if (unanswered > 0) {
            return;
        }
        http_response response;
        response.body = encode_start_results(results, clock());
        respond(response);
    }
};

std::string make_process_name() {
    std::random_device random;
    return std::to_string(random()) + "-" + std::to_string(random());
}

start_result to_result(const scheduler::start_answered& answer) {
    return answer.accepted ? start_result{start_outcome::accepted, {}}
                           : start_result{start_outcome::refused, answer.failure};
}

} // namespace

start_relay::start_relay(http_client& http, payload_cache& payloads, metrics& counters,
                         std::size_t max_open_starts)
    : process_(make_process_name()), workers_(http), payloads_(payloads), counters_(counters),
      max_open_starts_(max_open_starts) {}

clock_reading start_relay::clock() const {
    return {process_, boottime_now()};
}

const std::string* start_relay::find_payload(const start_batch& batch,
                                             const scheduler::send_start& order,
                                             start_result& outcome) {
    if (batch.receiver != process_ || boottime_now() > batch.send_until_ms) {
        outcome = {start_outcome::refused, scheduler::order_failure::not_sent};
        counters_.count("relayed_starts_total", "outcome",
                        batch.receiver == process_ ? "late" : "other_process");
        return nullptr;
    }
    if (*open_starts_ >= max_open_starts_) {
        outcome = {start_outcome::refused, scheduler::order_failure::not_sent};
        counters_.count("relayed_starts_total", "outcome", "too_many");
        return nullptr;
    }
    const std::string* payload = payloads_.find(order.task.job);
    counters_.count("relayed_starts_total", "outcome",
                    payload == nullptr ? "payload_missing" : "sent");
    return payload;
}

bool start_relay::handle(const http_request& request,
                         const std::function<void(const http_response&)>& respond) {
    if (request.path != start_batch_path) {
        return false;
    }
    auto decoded = decode_start_batch(request.body);
    if (!decoded) {
        respond(empty_response(400));
        return true;
    }
    start_batch& batch = decoded.value();
    for (const auto& [job, payload] : batch.payloads) {
        payloads_.add(job, payload);
    }
    workers_.set_fencing_token(batch.fencing_token);
    auto open = std::make_shared<open_batch>();
    open->results.resize(batch.starts.size());
    open->respond = respond;
    open->clock = [process = process_] { return clock_reading{process, boottime_now()}; };
    for (std::size_t i = 0; i < batch.starts.size(); ++i) {
        scheduler::send_start& order = batch.starts[i];
        const std::string* payload = find_payload(batch, order, open->results[i]);
        if (payload == nullptr) {
            continue;
        }
        order.payload = *payload;
        order.send_until_ms = batch.send_until_ms;
        ++open->unanswered;
        ++*open_starts_;
        workers_.start(order,
                       [open, i, count = open_starts_](const scheduler::start_answered& answer) {
                           --*count;
                           open->results[i] = to_result(answer);
                           --open->unanswered;
                           open->answer_if_complete();
                       });
    }
    open->answer_if_complete();
    return true;
}

} // namespace fulmarworks::node
