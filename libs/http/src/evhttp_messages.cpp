#include "evhttp_messages.h"

#include <cstdlib>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <poll.h>

namespace fulmarworks {

evhttp_cmd_type to_evhttp_command(const std::string& method) {
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (method == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    return method == "PUT" ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET;
}

http_answer read_answer(evhttp_request* request) {
    http_answer answer;
    if (request == nullptr) {
        return answer;
    }
    answer.status = evhttp_request_get_response_code(request);
    evbuffer* input = evhttp_request_get_input_buffer(request);
    answer.body.resize(evbuffer_get_length(input));
    evbuffer_copyout(input, answer.body.data(), answer.body.size());
    const char* retry_after =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Retry-After");
    if (retry_after != nullptr) {
        answer.retry_after_ms = std::atol(retry_after) * milliseconds_per_second;
    }
    return answer;
}

std::size_t header_bytes(evhttp_request* request, bool received) {
    constexpr std::size_t first_line_bytes = 20;
    constexpr std::size_t separator_bytes = 4;
    if (request == nullptr) {
        return 0;
    }
    const evkeyvalq* headers = received ? evhttp_request_get_input_headers(request)
                                        : evhttp_request_get_output_headers(request);
    std::size_t total = first_line_bytes;
    for (const evkeyval* h = headers->tqh_first; h != nullptr; h = h->next.tqe_next) {
        total += std::strlen(h->key) + std::strlen(h->value) + separator_bytes;
    }
    return total;
}

bool has_unread_input(evhttp_connection* connection) {
    pollfd state = {bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), POLLIN, 0};
    return state.fd >= 0 && poll(&state, 1, 0) > 0;
}

std::size_t bytes_read(evhttp_connection* connection, evhttp_request* request) {
    bufferevent* stream = evhttp_connection_get_bufferevent(connection);
    return evbuffer_get_length(bufferevent_get_input(stream)) +
           evbuffer_get_length(evhttp_request_get_input_buffer(request));
}

} // namespace fulmarworks
