#pragma once

#include "http/http_server.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace fulmarworks {

/** Sizes of the kernel's buffers of a connection in bytes. Linux doubles them for its own use. */
struct socket_buffers {
    int receive_bytes = 0;
    int send_bytes = 0;
};

/** Listens on an address; returns null if it can't be bound. Accepted connections have the given
 * buffers. `on_accepted` gets `argument` as its last parameter. Not thread safe. */
[[nodiscard]] evconnlistener* listen_on(event_base* base, const socket_address& where,
                                        const socket_buffers& buffers,
                                        evconnlistener_cb on_accepted, void* argument);

/** Closes a stream's connection, and frees its buffers and callbacks. Call it before
 * `bufferevent_free`, by which libevent does so later only, so that a process that closes many
 * streams at a time would hold all of them. Not thread safe. */
void shut_stream(bufferevent* stream);

} // namespace fulmarworks
