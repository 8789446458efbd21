#pragma once

#include "http/event_loop.h"
#include "node/decision_log.h"
#include "platform/store_client.h"
#include "read_limiter.h"
#include "scheduler/event.h"

#include <functional>
#include <memory>

namespace fulmarworks::node {

/** What a view of the registry uses of its leader. */
struct registry_view_context {
    event_loop& loop;
    platform::store_client& store;
    decision_log& log;
    std::shared_ptr<read_limiter> page_reads;
    /** Called once, when all entries have been read. */
    std::function<void()> on_loaded;
    /** Called with each later read of the registry, once `take_loaded` was called; also with reads
     * that found no change, as they confirm the view. */
    std::function<void(const scheduler::workers_reported&)> on_read;
};

/**
 * A leader's view of the worker registry: follows it, decodes its entries and hands over each read
 * as one event. Not thread safe.
 */
class registry_view {
public:
    /** Precondition: all references in `context` outlive the view. */
    explicit registry_view(registry_view_context context);
    ~registry_view();
    registry_view(const registry_view&) = delete;
    registry_view& operator=(const registry_view&) = delete;

    /** Returns whether all entries have been read. */
    [[nodiscard]] bool loaded() const;

    /** Returns everything read so far as one complete read. Precondition: `loaded()`, and the first
     * call. */
    [[nodiscard]] scheduler::workers_reported take_loaded();

    /** Logs when the view becomes late and when it is current again. For periodic calls. */
    void log_age();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
