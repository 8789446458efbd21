#pragma once

#include <string_view>

namespace fulmarworks {

/** Limits of a server that a client can exceed. */
enum class client_limit {
    head_size,        // a head above `max_head_bytes`: status 431
    body_size,        // a body above the limit: status 413
    syntax,           // not HTTP/1.1: status 400
    method,           // a method that the server doesn't support: status 501
    connections,      // a connection that was closed for a newer one, or not accepted
    open_requests,    // too many requests without a response: status 503
    memory,           // memory held for clients: status 503, or the connection was closed
    request_duration, // a request that didn't arrive in time: the connection was closed
    answer_duration,  // a response that the client didn't take in time: the connection was closed
    descriptors,      // no descriptor was left to accept a connection
};

/** Returns the name of a limit as in logs and metrics, such as `head_size`. Thread safe. */
[[nodiscard]] std::string_view name_of(client_limit limit);

} // namespace fulmarworks
