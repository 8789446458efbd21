#include "adapters/worker_client.h"

#include "base/json.h"

namespace fulmarworks {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_modified = 304;
/** Added to the wait of a poll for the timeout of the call. */
constexpr time_ms answer_margin_ms = 1000;
constexpr time_ms order_timeout_ms = 1500;
constexpr time_ms result_timeout_ms = 10000;
constexpr time_ms host_list_timeout_ms = 2000;

template <class T>
std::optional<T> parse_answer(const http_answer& answer) {
    const auto parsed = parse_json(answer.body);
    if (answer.status != status_ok || !parsed) {
        return std::nullopt;
    }
    const auto decoded = decode_json<T>(parsed.value());
    return decoded ? std::optional<T>(decoded.value()) : std::nullopt;
}

std::string percent_encode(std::string_view text) {
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string result;
    for (const char ch : text) {
        const auto byte = static_cast<unsigned char>(ch);
        if (std::isalnum(byte) != 0 || ch == '-' || ch == '_' || ch == '.') {
            result += ch;
        } else {
            result += '%';
            result += digits[byte >> 4];
            result += digits[byte & 15];
        }
    }
    return result;
}

} // namespace

worker_client::worker_client(http_client& client, std::string host_list_address)
    : client_(client), host_list_address_(std::move(host_list_address)) {}

void worker_client::poll(const std::string& address, std::uint64_t seen_version, time_ms wait_ms,
                         time_ms lease_ms, poll_handler done) {
    http_call call;
    call.address = address;
    call.target = "/v1/worker?seen_version=" + std::to_string(seen_version) +
                  "&wait_ms=" + std::to_string(wait_ms) + "&lease_ms=" + std::to_string(lease_ms);
    call.timeout_ms = wait_ms + answer_margin_ms;
    client_.send(call, [done = std::move(done)](const http_answer& a) {
        if (a.status == status_not_modified) {
            done(poll_status::unchanged, {});
            return;
        }
        const auto report = parse_answer<worker_report>(a);
        done(report ? poll_status::changed : poll_status::failed, report.value_or(worker_report{}));
    });
}

void worker_client::send(const std::string& address, const task_order& order, report_handler done) {
    http_call call;
    call.method = "POST";
    call.address = address;
    call.target = "/v1/orders";
    call.body = json(order).dump(-1, ' ', false, json::error_handler_t::replace);
    call.timeout_ms = order_timeout_ms;
    client_.send(call, [done = std::move(done)](const http_answer& a) {
        done(parse_answer<worker_report>(a));
    });
}

void worker_client::fetch_result(const std::string& address, const std::string& job, int attempt,
                                 std::function<void(const http_answer&)> done) {
    http_call call;
    call.address = address;
    call.target = "/v1/results?job=" + percent_encode(job) + "&attempt=" + std::to_string(attempt);
    call.timeout_ms = result_timeout_ms;
    client_.send(call, std::move(done));
}

void worker_client::list_hosts(
    std::function<void(const std::optional<std::vector<host_entry>>&)> done) {
    http_call call;
    call.address = host_list_address_;
    call.target = "/v1/hosts";
    call.timeout_ms = host_list_timeout_ms;
    client_.send(call, [done = std::move(done)](const http_answer& a) {
        const auto listed = parse_answer<host_list_answer>(a);
        done(listed ? std::optional(listed->hosts) : std::nullopt);
    });
}

void worker_client::request_power(const std::string& host, bool on) {
    http_call call;
    call.method = "POST";
    call.address = host_list_address_;
    call.target = "/v1/hosts/" + host + "/power";
    call.body = json{{"on", on}}.dump();
    client_.send(call, [](const http_answer&) {});
}

} // namespace fulmarworks
