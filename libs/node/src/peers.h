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

/** What a host has read from the store, as sent to peers that cannot read it. */
struct store_view {
    std::uint64_t configuration_version = 0;
    /** The operator's configuration as written in the store; empty if the receiver has it. */
    std::string configuration;
    /** Time since the store last confirmed that this configuration is the newest. */
    time_ms configuration_age_ms = 0;
    std::optional<lease_record> lease;
    std::uint64_t lease_offset = 0;
};

/** What `peers` uses of its process. */
struct peer_context {
    event_loop& loop;
    http_client& http;
    platform::store_client& store;
    decision_log& log;
    metrics& counters;
    std::string own_address;
    /** Returns this host's view, or nothing before it has read a configuration from the store.
     * Contains the configuration only if it is newer than `known_version`. */
    std::function<std::optional<store_view>(std::uint64_t known_version)> own_view;
    /** Applies the view of a peer that was requested at `sent_at_ms` (boottime). */
    std::function<void(const store_view&, time_ms sent_at_ms)> apply_view;
    /** Returns the version of this host's configuration; 0 without any. */
    std::function<std::uint64_t()> known_version;
};

/**
 * Lets a host that cannot reach the store work through peers that can: a peer appends its
 * submissions, and sends its view of the operator's configuration and of the leader's lease.
 *
 * Not thread safe.
 */
class peers {
public:
    /** Precondition: all references in `context` outlive this object. */
    explicit peers(peer_context context);
    ~peers();
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;

    /** Adds a registered host with the share of a processor core available to it. */
    void add_member(const std::string& address, double cpu_share);

    /** Returns the largest share of a processor core that any host registered; 0 without any. */
    [[nodiscard]] double largest_cpu_share() const;

    /** Returns how many registered hosts precede one with this share in the order in which hosts
     * are candidates for the leadership: larger shares first, then by address. */
    [[nodiscard]] std::size_t hosts_before(const std::string& address, double cpu_share) const;

    /** Requests the view of a peer unless a request is pending. Call while the store is
     * unreachable. */
    void refresh_view();

    /** Lets a peer append a submission, and calls `done` with the status as from the store. */
    void append_submission(const std::string& id, const std::string& record,
                           std::function<void(platform::store_status)> done);

    /** Returns whether a host is registered, isn't this one, and has not failed recently. */
    [[nodiscard]] bool usable(const std::string& address) const;

    /** Returns a usable host, the same for the same key while the hosts stay; empty without any. */
    [[nodiscard]] std::string choose_for(std::string_view key) const;

    /** Records that a call to a host had no answer. */
    void mark_failed(const std::string& address);

    /** Answers a request of a peer. Returns false if `request` is not from the peer protocol. */
    bool handle(const http_request& request, const std::function<void(http_response)>& respond);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
