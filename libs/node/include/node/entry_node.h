#pragma once

#include "base/error.h"
#include "http/event_loop.h"
#include "node/node_settings.h"

#include <memory>

namespace fulmarworks::node {

/**
 * One entry host: serves callers, follows the operator's configuration, and leads while it holds
 * the lease. Not thread safe; everything runs on the loop's thread.
 */
class entry_node {
public:
    /** Binds the addresses and starts. The loop must outlive the node. */
    [[nodiscard]] static result<std::unique_ptr<entry_node>> start(event_loop& loop,
                                                                   const node_settings& settings);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /** Takes over changed limits; addresses stay as they are until a restart. */
    void reload(const node_settings& settings);

    /** Reports not ready, hands leadership over, answers what is open, then stops the loop. */
    void shut_down();

private:
    struct impl;
    explicit entry_node(std::shared_ptr<impl> i);
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
