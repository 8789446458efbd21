#pragma once

#include "gateway/configuration.h"
#include "http/event_loop.h"
#include "node/decision_log.h"
#include "peers.h"
#include "platform/store_client.h"
#include "topic_follower.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fulmarworks::node {

/** What a configuration view uses of its process. */
struct configuration_view_context {
    event_loop& loop;
    platform::store_client& store;
    decision_log& log;
    /** Called after each newer version of the configuration. */
    std::function<void()> on_new_version;
    /** Called after a change that may allow other starts: of the guarantees of the accounts or the
     * evacuated failure domains. */
    std::function<void()> on_requests_change;
    /** Called after each read of the store with whether it succeeded. */
    std::function<void(bool ok)> on_read;
};

/**
 * What this host knows of the operator's documents: the newest configuration, up to when it is
 * known to be the newest, and the evacuated failure domains.
 *
 * The configuration is confirmed up to a time if the store, or a peer that read the store, has
 * shown that no newer version was written before that time. A newer version that this host can't
 * decode ends this: from then on nothing is confirmed until a later one can be decoded. Versions
 * never go back within a process.
 *
 * Not thread safe.
 */
class configuration_view {
public:
    /** Begins to read the store. Precondition: all references in `context` outlive the view. */
    explicit configuration_view(configuration_view_context context);

    /** Returns the newest known configuration, confirmed or not; null before the first one. */
    [[nodiscard]] const std::shared_ptr<const gateway::configuration>& newest() const {
        return configuration_;
    }

    /** Returns the configuration under which calls may be handled: null if it was confirmed longer
     * ago than `bound_ms`, less a margin for the network delay of a call. */
    [[nodiscard]] std::shared_ptr<const gateway::configuration> in_force(time_ms bound_ms) const;

    /** Returns the version of the newest known configuration; 0 before the first one. */
    [[nodiscard]] std::uint64_t version() const;

    /** Returns the time (boottime) up to which the configuration is confirmed; 0 if it never was.
     */
    [[nodiscard]] time_ms confirmed_at_ms() const;

    [[nodiscard]] const std::set<std::string>& evacuated_domains() const {
        return evacuated_domains_;
    }

    /** Returns what this host has read from the store itself, for peers that can't; nothing before
     * it has read a configuration. Without the document unless it is newer than `known_version`. */
    [[nodiscard]] std::optional<store_view> view_for_peer(std::uint64_t known_version) const;

    /** Applies the view of a peer that was requested at `sent_at_ms` (boottime). */
    void apply_peer_view(const store_view& view, time_ms sent_at_ms);

private:
    void apply_snapshot(const std::vector<platform::logged_record>& records);
    void apply_record(const platform::logged_record& record);
    void read_done(bool ok);
    /** Returns whether the document was decoded. */
    bool apply_configuration(const std::string& text, const char* source);
    void set_evacuated_domains(std::set<std::string> domains);

    configuration_view_context context_;
    std::shared_ptr<const gateway::configuration> configuration_;
    /** The configuration as the operator wrote it; sent to peers. */
    std::string configuration_text_;
    std::set<std::string> evacuated_domains_;
    /** The newest configuration document of the current series of reads. Only it is decoded, as
     * decoding takes the time of many reads. */
    std::optional<std::string> unread_document_;
    /** Whether the store's newest configuration could be decoded. */
    bool readable_ = true;
    /** Times (boottime) up to which the store and peers confirm the configuration. */
    time_ms store_confirmed_at_ms_ = 0;
    time_ms peer_confirmed_at_ms_ = 0;
    std::unique_ptr<topic_follower> follower_;
};

} // namespace fulmarworks::node
