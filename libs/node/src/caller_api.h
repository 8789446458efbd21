#pragma once

#include "gateway/classify.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "job_admission.h"
#include "leader.h"
#include "payload_cache.h"
#include "peers.h"

#include <functional>
#include <memory>
#include <string>

namespace fulmarworks::node {

/** What the caller API uses of its process. All functions are cheap and don't block. */
struct caller_context {
    event_loop& loop;
    http_client& http;
    platform::store_client& store;
    decision_log& log;
    metrics& counters;
    /** Returns the configuration in force; null before the first and while it may be outdated. */
    std::function<std::shared_ptr<const gateway::configuration>()> configuration;
    /** IP:PORT of this host for calls from other entry hosts. */
    std::string internal_address;
    /** Receives the payloads of the jobs that this host accepts. */
    payload_cache& payloads;
    /** Hosts that may reach the store while this one cannot. */
    peers& peer_hosts;
    /** Returns the leader of this process, or null while this host is not the leader. */
    std::function<leader*()> local_leader;
    /** Returns IP:PORT of the leader for calls from other entry hosts; empty while unknown. */
    std::function<std::string()> leader_address;
    /** Called when that host doesn't answer as the leader. */
    std::function<void()> refresh_leader;
    /** Calls without an answer, also of callers that have left; further ones are refused. */
    std::size_t max_open_calls = 0;
    /** Decides whether a submission's job fits beside those that are accepted. */
    std::function<admission(const scheduler::job_spec&)> admit;
};

/**
 * Serves callers: stores submissions, and passes all other calls to the leader. Not thread safe.
 */
class caller_api {
public:
    /** Precondition: all references in `context` outlive the API. */
    explicit caller_api(caller_context context);
    ~caller_api();
    caller_api(const caller_api&) = delete;
    caller_api& operator=(const caller_api&) = delete;

    using respond_handler = std::function<void(const http_response&)>;

    /** Handles one request of a caller. Calls `respond` exactly once. */
    void handle(const http_request& request, respond_handler respond);

    /** Answers all open calls at once, and refuses those that follow: the process is about to end.
     * A call that may have been executed is answered so. */
    void close();

    /** Returns the number of calls without an answer, those of callers that have left included. */
    [[nodiscard]] std::size_t open_calls() const;

    /** Answers a call for the leader that another entry host forwarded. */
    void handle_forwarded(const http_request& request, respond_handler respond);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

/** Request headers that `handle` reads, in the order of `http_request::headers`. */
enum caller_header : std::size_t { caller_host, caller_key, caller_timeout, caller_header_count };

} // namespace fulmarworks::node
