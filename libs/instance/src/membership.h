#pragma once

#include "context.h"

namespace fulmarworks {

/** Joins the fleet if this instance is not, or no longer, a member. */
void join_if_needed(context& c);

/** Announces this instance and suspects the ones that were not heard. */
void check_peers(context& c);

void handle_peer(context& c, const peer_message_received& e);

/** Answers a suspicion against this instance. */
void answer_suspicion(context& c);

} // namespace fulmarworks
