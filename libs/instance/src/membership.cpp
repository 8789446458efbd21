#include "membership.h"

#include "append_queue.h"
#include "base/digest.h"

#include <algorithm>

namespace fulmarworks {

namespace {

constexpr time_ms join_retry_ms = 3000;
constexpr time_ms suspicion_retry_ms = 2000;
/** A suspected instance answers with a read and an append, which a slow log delays. */
constexpr double append_latency_factor = 4;

void announce_self(context& c) {
    instance_state& s = c.state;
    if (s.now.monotonic < s.next_announce_at) {
        return;
    }
    s.next_announce_at = s.now.monotonic + s.settings.limits.announce_interval_ms;
    announce a;
    a.message = {s.settings.name, s.settings.incarnation, s.settings.peer_address,
                 s.ledger.next_offset, s.ledger.config_version};
    for (const auto& [name, info] : s.ledger.instances) {
        if (name != s.settings.name) {
            a.peers.push_back(info.peer_address);
        }
    }
    emit(c, std::move(a));
}

void suspect(context& c, const std::string& name, const instance_info& info) {
    if (begin_attempt_if_due(c.state.membership_retry_at, "suspect/" + name, c.state.now.monotonic,
                             suspicion_retry_ms)) {
        count(c, "peer_suspected");
        enqueue_record(c, append_lane::urgent, instance_suspected{name, info.incarnation});
    }
}

void remove_unresponsive(context& c, const std::string& name, const instance_info& info,
                         peer_state& peer) {
    if (peer.suspected_offset != info.suspected_offset) {
        peer.suspected_offset = info.suspected_offset;
        peer.suspected_at = c.state.now.monotonic;
    }
    const time_ms waited = c.state.now.monotonic - peer.suspected_at;
    const auto answer_timeout =
        c.state.settings.limits.suspicion_timeout_ms +
        static_cast<time_ms>(append_latency_factor * c.state.append_latency_ms);
    if (waited < answer_timeout || !is_caught_up(c.state)) {
        return;
    }
    if (begin_attempt_if_due(c.state.membership_retry_at, "remove/" + name, c.state.now.monotonic,
                             suspicion_retry_ms)) {
        enqueue_record(c, append_lane::urgent,
                       instance_left{name, info.incarnation, info.suspected_offset});
    }
}

} // namespace

int rank_for(const instance_state& s, std::string_view role) {
    const std::uint64_t role_hash = hash64(role);
    const std::uint64_t own = combine_hashes(hash64(s.settings.name), role_hash);
    return static_cast<int>(
        std::count_if(s.ledger.instances.begin(), s.ledger.instances.end(), [&](const auto& entry) {
            return combine_hashes(hash64(entry.first), role_hash) > own;
        }));
}

void join_if_needed(context& c) {
    instance_state& s = c.state;
    const auto known = s.ledger.instances.find(s.settings.name);
    const bool is_member =
        known != s.ledger.instances.end() && known->second.incarnation == s.settings.incarnation;
    if (s.phase != instance_phase::following || is_member || !is_caught_up(s) ||
        s.now.monotonic < s.next_join_at) {
        return;
    }
    s.next_join_at = s.now.monotonic + join_retry_ms;
    enqueue_record(c, append_lane::urgent,
                   instance_joined{s.settings.name, s.settings.incarnation, s.settings.api_address,
                                   s.settings.peer_address, s.settings.failure_domain});
}

void check_peers(context& c) {
    instance_state& s = c.state;
    announce_self(c);
    if (s.phase != instance_phase::following || !is_log_available(s)) {
        return;
    }
    std::erase_if(s.peers,
                  [&](const auto& entry) { return !s.ledger.instances.contains(entry.first); });
    for (const auto& [name, info] : s.ledger.instances) {
        if (name == s.settings.name) {
            continue;
        }
        const auto [entry, is_new] = s.peers.try_emplace(name);
        if (is_new) {
            entry->second.last_heard_at = s.now.monotonic;
        }
        const time_ms silent = s.now.monotonic - entry->second.last_heard_at;
        if (silent <= s.settings.limits.peer_timeout_ms) {
            continue;
        }
        if (info.suspected_offset == 0) {
            suspect(c, name, info);
        } else {
            remove_unresponsive(c, name, info, entry->second);
        }
    }
}

void handle_peer(context& c, const peer_message_received& e) {
    const auto known = c.state.ledger.instances.find(e.message.name);
    if (known == c.state.ledger.instances.end() ||
        known->second.incarnation != e.message.incarnation) {
        return;
    }
    c.state.peers[e.message.name].last_heard_at = c.state.now.monotonic;
    c.state.newest_peer_config_version =
        std::max(c.state.newest_peer_config_version, e.message.config_version);
}

void answer_suspicion(context& c) {
    const auto self = c.state.ledger.instances.find(c.state.settings.name);
    if (self == c.state.ledger.instances.end() || self->second.suspected_offset == 0 ||
        self->second.incarnation != c.state.settings.incarnation) {
        return;
    }
    enqueue_record(c, append_lane::urgent,
                   instance_alive{c.state.settings.name, c.state.settings.incarnation});
}

} // namespace fulmarworks
