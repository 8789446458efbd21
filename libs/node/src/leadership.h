#pragma once

#include "base/error.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarworks::node {

/** Shortest lease; three renewals at a store that answers in milliseconds. */
inline constexpr time_ms shortest_lease_ms = 700;
/** First lease of a term: the host is busy reading the state back meanwhile. */
inline constexpr time_ms first_lease_ms = 1500;
/** Longest lease, for a store that is slow. */
inline constexpr time_ms longest_lease_ms = 3000;
inline constexpr time_ms leader_renewal_ms = 220;
/** A lease covers this many of the slowest recent answers of the store. */
inline constexpr int lease_answers = 4;
/** Time for which a leader that can't renew goes on with what runs already; with the lease of a
 * worker it bridges an outage of the store of 9 s without losing work. */
inline constexpr time_ms leader_grace_ms = 5000;

/** One record of the leadership log. */
struct lease_record {
    std::string name;
    /** Where the leader answers other entry hosts. */
    std::string address;
    /** Tells incarnations of one host apart. */
    std::uint64_t incarnation = 0;
    /** Offset of the record with which the leadership began; 0 in that record itself. */
    std::uint64_t epoch = 0;
    /** Counts the writes of one incarnation, so that it recognises its own. */
    std::uint64_t write = 0;
    /** The leader gave up its lease. */
    bool released = false;
    /** Time for which the lease is good, from when the record was sent. */
    time_ms lease_ms = shortest_lease_ms;
};

[[nodiscard]] std::string encode_lease(const lease_record& record);
[[nodiscard]] result<lease_record> decode_lease(std::string_view text);

/** A record to append on condition that the log still ends at `expected_end`. */
struct lease_write {
    lease_record record;
    std::uint64_t expected_end = 0;
};

/**
 * What one host knows of the leader's lease. The lease is a record in a log; whoever appends the
 * next one on condition of the log's end holds it (a compare-and-swap). The holder counts its time
 * from before it sent the record, everybody else from when they read it, so two never overlap.
 */
struct leadership_state {
    std::string name;
    std::string address;
    std::uint64_t incarnation = 0;

    bool loaded = false;
    std::uint64_t log_end = 0;
    std::optional<lease_record> newest;
    std::uint64_t newest_offset = 0;
    time_ms newest_read_at_ms = 0;
    /** Begin of the current unbroken series of successful reads; 0 if the last one failed. */
    time_ms readable_since_ms = 0;

    /** The write that wasn't answered yet. */
    std::optional<lease_record> open_write;
    std::uint64_t writes = 0;
    time_ms write_sent_at_ms = 0;
    /** Decaying maximum of the time that the store took to answer a write. */
    time_ms slowest_answer_ms = 0;
    bool releasing = false;

    /** The leader before this host's term can't be acting any more. */
    bool predecessor_ended = false;
    /** Epoch of this host's leadership; 0 while another one leads. */
    std::uint64_t epoch = 0;
    time_ms valid_until_ms = 0;
};

[[nodiscard]] bool is_leader(const leadership_state& state);

/** Returns whether nobody else can have taken over yet. */
[[nodiscard]] bool lease_valid(const leadership_state& state, time_ms now_ms);

/** Returns whether this host may still give orders; a leader that was suspended finds out here. */
[[nodiscard]] bool may_act(const leadership_state& state, time_ms now_ms);

/** Returns where the leader answers, or an empty text while none is known. */
[[nodiscard]] std::string leader_address(const leadership_state& state);

/** Takes over one record that was read. */
void lease_read(leadership_state& state, time_ms now_ms, std::uint64_t offset,
                const lease_record& record);

/** Takes over whether the log could be read, and where it ended. */
void log_read(leadership_state& state, time_ms now_ms, bool ok, std::uint64_t end);

/** Takes over the outcome of the open write; `offset` holds if it was appended. */
void write_done(leadership_state& state, time_ms now_ms, bool appended, std::uint64_t offset);

/** Returns the write that is due, if any: an acquisition, a renewal or the release. `jitter_ms`
 * spreads candidates. */
[[nodiscard]] std::optional<lease_write> due_write(leadership_state& state, time_ms now_ms,
                                                   time_ms jitter_ms);

/** Lets the lease go with the next write; this host doesn't acquire it again. */
void request_release(leadership_state& state);

/** Gives up leadership without a write, after a sign that another host leads. */
void resign(leadership_state& state);

} // namespace fulmarworks::node
