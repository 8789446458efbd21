#include "http/tcp_stream.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace fulmarworks {

evconnlistener* listen_on(event_base* base, const socket_address& where,
                          const socket_buffers& buffers, evconnlistener_cb on_accepted,
                          void* argument) {
    constexpr int backlog = 1024;
    constexpr unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port);
    inet_pton(AF_INET, where.ip.c_str(), &address.sin_addr);
    evconnlistener* listener =
        evconnlistener_new_bind(base, on_accepted, argument, flags, backlog,
                                reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (listener != nullptr) {
        const evutil_socket_t descriptor = evconnlistener_get_fd(listener);
        constexpr int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffers.receive_bytes,
                   sizeof buffers.receive_bytes);
        setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &buffers.send_bytes,
                   sizeof buffers.send_bytes);
    }
    return listener;
}

void shut_stream(bufferevent* stream) {
    bufferevent_disable(stream, EV_READ | EV_WRITE);
    bufferevent_setcb(stream, nullptr, nullptr, nullptr, nullptr);
    // A stream that its watermark has suspended would outlive its owner.
    bufferevent_setwatermark(stream, EV_READ, 0, 0);
    const evutil_socket_t descriptor = bufferevent_getfd(stream);
    if (descriptor >= 0) {
        bufferevent_setfd(stream, -1);
        evutil_closesocket(descriptor);
    }
    evbuffer* output = bufferevent_get_output(stream);
    evbuffer_unfreeze(output, 1);
    evbuffer_drain(output, evbuffer_get_length(output));
    evbuffer* input = bufferevent_get_input(stream);
    evbuffer_drain(input, evbuffer_get_length(input));
}

} // namespace fulmarworks
