#pragma once

#include "http/event_loop.h"
#include "leadership.h"
#include "node/decision_log.h"
#include "platform/store_client.h"

#include <functional>
#include <memory>

namespace fulmarworks::node {

struct lease_keeper_context {
    event_loop& loop;
    platform::store_client& store;
    decision_log& log;
    std::string name;
    /** Where this host answers other hosts. */
    std::string address;
    /** Called whenever leadership may have come or gone. */
    std::function<void()> on_change;
};

/**
 * Follows the leader's lease in the store, and acquires, renews and releases it for this host. The
 * rules are in leadership.h; this carries them out. Not thread safe.
 */
class lease_keeper {
public:
    /** Precondition: what `context` names outlives this. */
    explicit lease_keeper(lease_keeper_context context);
    ~lease_keeper();
    lease_keeper(const lease_keeper&) = delete;
    lease_keeper& operator=(const lease_keeper&) = delete;

    [[nodiscard]] leadership_state& state();
    [[nodiscard]] const leadership_state& state() const;

    /** Sends the write that is due. A vacant lease is left to others for `extra_wait_ms` longer. */
    void advance(time_ms extra_wait_ms);

    /** Takes over a record that a peer read. */
    void adopt(std::uint64_t offset, const lease_record& record);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
