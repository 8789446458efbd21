#include "gateway/classify.h"

#include <algorithm>
#include <cctype>

namespace fulmarworks::gateway {

namespace {

constexpr std::size_t job_id_digits = 16;

std::string_view without_port(std::string_view host) {
    return host.substr(0, host.find(':'));
}

classified_call classify_job_call(const route& queue, const request_head& request,
                                  std::string account) {
    const std::string_view rest = request.path.substr(queue.path_prefix.size());
    if (rest.empty()) {
        return request.method == "GET" ? classified_call(query_queue{&queue})
                                       : classified_call(refusal::unknown_method);
    }
    if (!is_job_id(rest)) {
        return refusal::malformed_job_id;
    }
    if (request.method == "POST") {
        return submit_job{&queue, std::move(account), std::string(rest)};
    }
    if (request.method == "GET") {
        return query_job{std::string(rest)};
    }
    if (request.method == "DELETE") {
        return cancel_job{std::string(rest)};
    }
    return refusal::unknown_method;
}

} // namespace

bool is_job_id(std::string_view text) {
    return text.size() == job_id_digits &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return std::isxdigit(c) != 0; });
}

const route* find_route(const configuration& config, std::string_view host, std::string_view path) {
    const std::string_view name = without_port(host);
    const route* best = nullptr;
    for (const auto& r : config.routes) {
        const bool longer = best == nullptr || r.path_prefix.size() > best->path_prefix.size();
        if (r.host == name && path.starts_with(r.path_prefix) && longer) {
            best = &r;
        }
    }
    return best;
}

classified_call classify(const configuration* config, const request_head& request) {
    if (config == nullptr) {
        return refusal::no_configuration;
    }
    const route* queue = find_route(*config, request.host, request.path);
    if (queue == nullptr) {
        return refusal::unknown_route;
    }
    const auto account = config->account_by_key.find(std::string(request.api_key));
    if (account == config->account_by_key.end() && !queue->is_public) {
        return refusal::unknown_key;
    }
    return classify_job_call(*queue, request,
                             account == config->account_by_key.end() ? "" : account->second);
}

int status_of(refusal reason) {
    switch (reason) {
    case refusal::no_configuration: return 503;
    case refusal::unknown_route: return 404;
    case refusal::unknown_key: return 401;
    case refusal::unknown_method: return 405;
    case refusal::malformed_job_id: return 400;
    }
    return 500;
}

std::string_view name_of(refusal reason) {
    switch (reason) {
    case refusal::no_configuration: return "no_configuration";
    case refusal::unknown_route: return "unknown_route";
    case refusal::unknown_key: return "unknown_key";
    case refusal::unknown_method: return "unknown_method";
    case refusal::malformed_job_id: return "malformed_job_id";
    }
    return "invalid";
}

} // namespace fulmarworks::gateway
