#pragma once

#include "http/event_loop.h"
#include "leadership.h"
#include "node/decision_log.h"
#include "platform/store_client.h"

#include <functional>
#include <memory>

namespace fulmarworks::node {

/** What a leader elector uses of its process. */
struct leader_elector_context {
    event_loop& loop;
    platform::store_client& store;
    decision_log& log;
    std::string name;
    /** IP:PORT of this host for calls from other entry hosts. */
    std::string address;
    /** Returns whether this host is one of those that take a vacant lease first. */
    std::function<bool()> is_candidate;
    /** Called whenever this host may have become the leader or ceased to be it. */
    std::function<void()> on_change;
};

/**
 * Leader election: follows the leader's lease in the store, and acquires, renews and releases it
 * for this host. The rules are in leadership.h; this class reads and writes the records.
 *
 * Candidates wait at the store for each renewal. The other hosts read the lease every
 * `passive_read_interval_ms`, so that the calls of the store don't grow with renewals times hosts;
 * they take a vacant lease that much later. Not thread safe.
 */
class leader_elector {
public:
    /** Precondition: all references in `context` outlive the elector. */
    explicit leader_elector(leader_elector_context context);
    ~leader_elector();
    leader_elector(const leader_elector&) = delete;
    leader_elector& operator=(const leader_elector&) = delete;

    [[nodiscard]] leadership_state& state();
    [[nodiscard]] const leadership_state& state() const;

    /** Sends the write that is due, if any. Waits `extra_delay_ms` longer before it acquires a
     * vacant lease, which lets other hosts acquire it first. */
    void send_due_write(time_ms extra_delay_ms);

    /** Reads the lease soon; called when the known leader doesn't answer as the leader. */
    void refresh();

    /** Applies a record that a peer read from the store. */
    void apply_record(std::uint64_t offset, const lease_record& record);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
