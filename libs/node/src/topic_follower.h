#pragma once

#include "http/event_loop.h"
#include "platform/store_client.h"

#include <functional>
#include <memory>

namespace fulmarworks::node {

/** How often a topic is read, and what happens with what is read. */
struct follower_options {
    platform::topic where = platform::topic::operator_documents;
    /** Time that a read waits at the store for a new record. */
    time_ms wait_ms = 700;
    /** Pause between reads; with a wait of 0 this is the polling interval. */
    time_ms pause_ms = 0;
    /** Called with the newest record of every key: once at the start, and again when the store has
     * deleted records that were not read yet. Keys that are missing don't exist any more. Without
     * it, each of these records goes to `on_record`. */
    std::function<void(const std::vector<platform::logged_record>&)> on_snapshot;
    /** Called for each later record, in order. */
    std::function<void(const platform::logged_record&)> on_record;
    /** Called after each read with whether it succeeded. */
    std::function<void(bool ok)> on_read;
};

/**
 * Follows one topic of the store: a snapshot of the newest records, then every later one. Reads
 * that fail are repeated for the life of the follower. Not thread safe.
 */
class topic_follower {
public:
    /** Preconditions: loop and store outlive the follower. */
    topic_follower(event_loop& loop, platform::store_client& store, follower_options options);
    ~topic_follower();
    topic_follower(const topic_follower&) = delete;
    topic_follower& operator=(const topic_follower&) = delete;

    /** Returns whether the snapshot was delivered. */
    [[nodiscard]] bool loaded() const;

    /** Returns the time (boottime) as of which everything written was delivered; 0 before that. */
    [[nodiscard]] time_ms confirmed_at_ms() const;

    /** Returns the end of the log as far as it was read. */
    [[nodiscard]] std::uint64_t end() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
