#pragma once

#include "http/event_loop.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "leadership.h"
#include "node/decision_log.h"
#include "node/metrics.h"
#include "platform/store_client.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmarworks::node {

/** What a host has read from the store, as it tells hosts that can't read it. */
struct store_view {
    std::uint64_t configuration_version = 0;
    /** The operator's configuration as it was written; empty if the asker has it already. */
    std::string configuration;
    /** Time since this was confirmed to be the newest. */
    time_ms configuration_age_ms = 0;
    std::optional<lease_record> lease;
    std::uint64_t lease_offset = 0;
};

struct peer_context {
    event_loop& loop;
    http_client& http;
    platform::store_client& store;
    decision_log& log;
    metrics& counters;
    std::string own_address;
    /** Returns the own view; the configuration only if it is newer than `known_version`. */
    std::function<std::optional<store_view>(std::uint64_t known_version)> view;
    /** Takes over a peer's view that was asked for at `sent_at_ms`. */
    std::function<void(const store_view&, time_ms sent_at_ms)> adopt;
    std::function<std::uint64_t()> known_version;
};

/**
 * Lets hosts that the store turns away go on through hosts that it serves: a peer appends their
 * submissions and shows them its view of the operator's documents and of the leader's lease.
 *
 * Not thread safe.
 */
class peers {
public:
    /** Precondition: everything in `context` outlives this. */
    explicit peers(peer_context context);
    ~peers();
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;

    /** Adds a host that registered itself with its share of a core. */
    void add_member(const std::string& address, double cpu_share);

    /** Returns the largest share of a core that any host registered; 0 without any. */
    [[nodiscard]] double largest_cpu_share() const;

    /** Asks a peer for its view, if one isn't asked already. Call while the store is out of reach.
     */
    void refresh_view();

    /** Has a peer append a submission. Reports as the store would. */
    void append_submission(const std::string& id, const std::string& record,
                           std::function<void(platform::store_status)> done);

    /** Answers a request of a peer; false if it isn't one. */
    bool handle(const http_request& request,
                const std::function<void(const http_response&)>& respond);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
