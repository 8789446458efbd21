#pragma once

#include "http/event_loop.h"
#include "platform/store_client.h"
#include "read_limiter.h"

#include <functional>
#include <memory>

namespace fulmarworks::node {

/** Which topic is read, how often, and the callbacks for its records. */
struct follower_options {
    platform::topic log_topic = platform::topic::operator_documents;
    std::uint32_t partition = 0;
    /** Time that a read waits at the store for a new record. */
    time_ms wait_ms = 700;
    /** Interval between reads, from when each is sent; the polling interval if `wait_ms` is 0. */
    time_ms pause_ms = 0;
    /** Limits the pages of the snapshot that are read at once; null for no limit. */
    std::shared_ptr<read_limiter> limiter;
    /** Called with the newest record of every key: at the start, and again if the store has deleted
     * records that were not read yet. Keys that are missing from it no longer exist. If not set,
     * `on_record` is called with each of these records. */
    std::function<void(const std::vector<platform::logged_record>&)> on_snapshot;
    /** Called with each record after the snapshot, in order of offsets. */
    std::function<void(const platform::logged_record&)> on_record;
    /** Called after each read that failed, and after each one that left no record unread. */
    std::function<void(bool ok)> on_read;
};

/**
 * Follows one topic of the store: a snapshot of the newest records, then every later one. Reads
 * that fail are retried until the follower is destroyed.
 *
 * The store returns both in parts. A part is evidence only of the records that it contains:
 *
 * - A read is complete if it leaves no record unread up to the end of the log that the answer
 *   states. The snapshot is complete with its last page.
 * - The follower is current up to the time at which its newest complete read, or the first page of
 *   its snapshot, was sent: all that was written before that time has been delivered.
 *
 * A read that leaves records is followed by the next one at once. Not thread safe.
 */
class topic_follower {
public:
    /** Precondition: `loop` and `store` outlive the follower. */
    topic_follower(event_loop& loop, platform::store_client& store, follower_options options);
    ~topic_follower();
    topic_follower(const topic_follower&) = delete;
    topic_follower& operator=(const topic_follower&) = delete;

    /** Changes the wait of a read at the store and the delay between reads, from the next read on.
     */
    void set_pacing(time_ms wait_ms, time_ms pause_ms);

    /** Reads now instead of at the end of the current delay; does nothing while a read is open. */
    void read_now();

    /** Returns whether the first snapshot was delivered. */
    [[nodiscard]] bool loaded() const;

    /** Returns the time (boottime) up to which the follower is current; 0 before the first
     * snapshot.
     */
    [[nodiscard]] time_ms confirmed_at_ms() const;

    /** Returns a time (boottime) after which the records that are being delivered were written; 0
     * if it is unknown, as for a snapshot. For use in `on_record`. */
    [[nodiscard]] time_ms written_after_ms() const;

    /** Returns the offset after the last record that was read. */
    [[nodiscard]] std::uint64_t end() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace fulmarworks::node
