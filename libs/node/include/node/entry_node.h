#pragma once

#include "base/error.h"
#include "http/event_loop.h"
#include "node/node_settings.h"

#include <memory>

namespace fulmarworks::node {

/**
 * One entry host: serves callers, follows the operator's configuration, and is the leader while it
 * holds the leader's lease. Not thread safe; everything runs on the loop's thread.
 */
class entry_node {
public:
    /** Binds the addresses and starts. Fails if an address cannot be bound. The loop must outlive
     * the node. */
    [[nodiscard]] static result<std::unique_ptr<entry_node>> start(event_loop& loop,
                                                                   const node_settings& settings);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /** Applies changed limits and the configuration bound. Other settings, such as addresses, need
     * a restart. */
    void reload(const node_settings& settings);

    /** Reports the host as not ready, releases the leader's lease, answers the open requests, then
     * stops the loop. */
    void shut_down();

private:
    struct impl;
    explicit entry_node(std::shared_ptr<impl> i);
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
