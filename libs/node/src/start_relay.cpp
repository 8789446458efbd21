#include "start_relay.h"

#include "start_batch.h"

#include <memory>

namespace fulmarworks::node {

namespace {

/** A batch whose workers have not all answered. */
struct open_batch {
    std::vector<start_result> results;
    std::size_t unanswered = 0;
    std::function<void(const http_response&)> respond;

    void answer_if_complete() const {
        if (unanswered > 0) {
            return;
        }
        http_response response;
        response.body = encode_start_results(results);
        respond(response);
    }
};

start_result to_result(const scheduler::start_answered& answer) {
    return answer.accepted ? start_result{start_outcome::accepted, {}}
                           : start_result{start_outcome::refused, answer.failure};
}

} // namespace

start_relay::start_relay(http_client& http, payload_cache& payloads, metrics& counters)
    : workers_(http), payloads_(payloads), counters_(counters) {}

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
    for (std::size_t i = 0; i < batch.starts.size(); ++i) {
        scheduler::send_start& order = batch.starts[i];
        const std::string* payload = payloads_.find(order.task.job);
        if (payload == nullptr) {
            counters_.count("relayed_starts_total", "outcome", "payload_missing");
            continue;
        }
        counters_.count("relayed_starts_total", "outcome", "sent");
        order.payload = *payload;
        ++open->unanswered;
        workers_.start(order, [open, i](const scheduler::start_answered& answer) {
            open->results[i] = to_result(answer);
            --open->unanswered;
            open->answer_if_complete();
        });
    }
    open->answer_if_complete();
    return true;
}

} // namespace fulmarworks::node
