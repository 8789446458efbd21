#pragma once

#include "base/error.h"
#include "base/time.h"
#include "job_admission.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmarworks::node {

/** Shortest lease: three renewal intervals, enough if the store responds within milliseconds. */
inline constexpr time_ms min_leader_lease_ms = 700;
/** Shortest initial lease of a term, during which the host is busy reading the state back. */
inline constexpr time_ms initial_leader_lease_ms = 1500;
/** Longest lease, used while the store is slow. */
inline constexpr time_ms max_leader_lease_ms = 3000;
inline constexpr time_ms leader_renewal_interval_ms = 220;
/** A lease is extended by this multiple of the slowest recent response time of the store. */
inline constexpr int lease_response_multiple = 4;
/** Time after the end of its lease for which a leader that cannot renew it continues the work that
 * already runs. Together with the lease of a worker it covers a store outage of 9 s without losing
 * work. */
inline constexpr time_ms leader_grace_ms = 5000;
/** Time after a leader stepped aside for which no leader does so, whoever leads: several overloaded
 * hosts must not hand the lease around. */
inline constexpr time_ms step_aside_interval_ms = 30'000;
/** Time for which a host that stepped aside leaves the lease to others, if nobody takes it. */
inline constexpr time_ms left_to_others_ms = 5000;
/** A leader steps aside only for hosts with at least this multiple of its share of a core. */
inline constexpr double abler_share_multiple = 1.5;

/** One record of the leadership log. */
struct lease_record {
    std::string name;
    /** IP:PORT of the leader for calls from other entry hosts. */
    std::string address;
    /** Distinguishes restarts of the same host. */
    std::uint64_t incarnation = 0;
    /** Identifies the term: the offset of its first record plus 1; 0 in that record itself. */
    std::uint64_t epoch = 0;
    /** Counts the writes of one incarnation, by which it recognises its own records. */
    std::uint64_t write_number = 0;
    /** Whether the leader released its lease. */
    bool released = false;
    /** Duration of the lease, counted from when the record was sent. */
    time_ms lease_ms = min_leader_lease_ms;
    /** Time, counted from when the record was sent, for which earlier leaders may still give
     * orders. */
    time_ms earlier_orders_ms = 0;
    /** Time, counted from when the record was sent, for which no leader steps aside. */
    time_ms kept_ms = 0;
    /** Memory that the accepted jobs take in the leader. */
    job_backlog backlog = {};
};

[[nodiscard]] std::string encode_lease(const lease_record& record);
[[nodiscard]] result<lease_record> decode_lease(std::string_view text);

/** A conditional append: succeeds only if the log still ends at `expected_end`. */
struct lease_write {
    lease_record record;
    std::uint64_t expected_end = 0;
};

/**
 * What one host knows about the leader's lease.
 *
 * The lease is a record in a log. A host acquires it by appending the next record with a
 * compare-and-swap on the end of the log. The holder measures the lease from before it sent the
 * record, and all other hosts from when they read it, so two leases never overlap.
 */
struct leadership_state {
    std::string name;
    std::string address;
    std::uint64_t incarnation = 0;

    /** Whether the log has been read since the start. */
    bool loaded = false;
    std::uint64_t log_end = 0;
    std::optional<lease_record> newest_record;
    std::uint64_t newest_offset = 0;
    time_ms newest_read_at_ms = 0;
    /** Start of the current uninterrupted series of successful reads; 0 if the last one failed. */
    time_ms readable_since_ms = 0;

    /** The write that the store has not answered yet. */
    std::optional<lease_record> pending_write;
    /** What this host reports of its jobs while it leads and knows them; without a value it repeats
     * the last report. */
    std::optional<job_backlog> own_backlog;
    /** Writes begun by this incarnation. */
    std::uint64_t write_count = 0;
    time_ms write_sent_at_ms = 0;
    /** Decaying maximum of the time that the store took to answer a write. */
    time_ms slowest_response_ms = 0;
    /** Whether this host releases its lease and no longer acquires it. */
    bool releasing = false;

    /** Whether this host releases its lease to an abler one. */
    bool stepping_aside = false;
    /** Time until which no leader steps aside, by all records so far. */
    time_ms kept_until_ms = 0;
    /** Time until which this host, having stepped aside, doesn't acquire the lease. */
    time_ms left_to_others_until_ms = 0;

    /** Whether this host has sent the release of its lease, after which it gives no orders. */
    bool release_sent = false;

    /**
     * Time until which any leader before this host's term may still give orders.
     *
     * A leader gives orders until its lease and the grace time are over, both counted from when it
     * sent the record, which is before this host read it. A leader that released its lease, or was
     * this host, gives none; the leaders before it still may, so each record says for how long.
     */
    time_ms earlier_orders_until_ms = 0;
    /** Epoch of this host's term; 0 while this host is not the leader. */
    std::uint64_t epoch = 0;
    /** End of this host's lease, less a safety margin. */
    time_ms valid_until_ms = 0;
};

/** Returns whether this host is the leader as far as it knows; its lease may have expired. */
[[nodiscard]] bool is_leader(const leadership_state& state);

/** Returns whether this host's lease has not expired, so no other host can be the leader. */
[[nodiscard]] bool lease_valid(const leadership_state& state, time_ms now_ms);

/**
 * Returns whether this host may still give orders: it is the leader, has not released its lease,
 * and the lease has not expired for longer than the grace time. A leader whose process was
 * suspended detects that by this check.
 */
[[nodiscard]] bool may_act(const leadership_state& state, time_ms now_ms);

/** Returns what the newest record reports of the accepted jobs. */
[[nodiscard]] job_backlog newest_backlog(const leadership_state& state);

/** Returns the address of the leader; empty while none is known. */
[[nodiscard]] std::string leader_address(const leadership_state& state);

/** Applies a record that was read. Records up to the newest known offset are ignored. */
void apply_lease_record(leadership_state& state, time_ms now_ms, std::uint64_t offset,
                        const lease_record& record);

/** Applies the outcome of a read of the log; `end` is its end and valid only if `ok`. */
void apply_log_read(leadership_state& state, time_ms now_ms, bool ok, std::uint64_t end);

/** Applies the outcome of the pending write; `offset` is valid only if `appended`. */
void apply_write_outcome(leadership_state& state, time_ms now_ms, bool appended,
                         std::uint64_t offset);

/**
 * Begins the write that is due, if any: an acquisition, a renewal or the release. `delay_ms`
 * delays the acquisition of a vacant lease, released ones included, so that candidates don't all
 * write at once and abler hosts go first.
 */
[[nodiscard]] std::optional<lease_write> begin_due_write(leadership_state& state, time_ms now_ms,
                                                         time_ms delay_ms);

/** Returns the delay before a host with this share of a core acquires a vacant lease; 0 for the
 * largest share. The leader's work needs processor time. Thread safe. */
[[nodiscard]] time_ms acquisition_delay(double cpu_share, double largest_cpu_share);

/** Makes the next write release the lease; this host doesn't acquire it again. */
void request_release(leadership_state& state);

/** Returns whether the leader would do well to step aside if it can't keep up. */
[[nodiscard]] bool may_step_aside(const leadership_state& state, time_ms now_ms, double cpu_share,
                                  double largest_cpu_share);

/** Makes the next write release the lease, so that abler hosts acquire it. Precondition:
 * `may_step_aside`. */
void step_aside(leadership_state& state, time_ms now_ms);

/** Ends this host's leadership without a write, for example once another host leads. */
void resign(leadership_state& state);

} // namespace fulmarworks::node
