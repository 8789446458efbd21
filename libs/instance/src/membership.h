#pragma once

#include "context.h"

namespace fulmarworks {

/** Requests membership if this instance is not, or no longer, a member. */
void join_if_needed(context& c);

/**
 * Announces this instance to its peers. Suspects peers that have not announced themselves within
 * `peer_timeout_ms`, and removes those that do not answer the suspicion.
 */
void check_peers(context& c);

void handle_peer(context& c, const peer_message_received& e);

/** Appends a record that this instance is alive if it is suspected. */
void answer_suspicion(context& c);

} // namespace fulmarworks
