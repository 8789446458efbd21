#pragma once

#include "http/http_client.h"

#include <event2/http.h>
#include <string>

namespace fulmarworks {

/** Functions on messages and connections of evhttp. None is thread safe. */

[[nodiscard]] evhttp_cmd_type to_evhttp_command(const std::string& method);

/** Returns the answer to a request that has ended; status 0 for a null one. */
[[nodiscard]] http_answer read_answer(evhttp_request* request);

/** Returns the size of a message's headers and first line in bytes. The request target is not
 * included; the rest of the first line counts as 20 bytes. */
[[nodiscard]] std::size_t header_bytes(evhttp_request* request, bool received);

/** Returns whether the system has data from the server, or its end, that evhttp hasn't read. */
[[nodiscard]] bool has_unread_input(evhttp_connection* connection);

/** Returns the number of bytes of an answer that have been read so far. */
[[nodiscard]] std::size_t bytes_read(evhttp_connection* connection, evhttp_request* request);

} // namespace fulmarworks
