#pragma once

#include "http/http_server.h"

#include <string>

namespace fulmarworks {

/** Returns the status line and headers of a response (RFC 9112), with the empty line that ends
 * them. Thread safe. */
[[nodiscard]] std::string make_response_head(const http_response& response, bool close_connection);

} // namespace fulmarworks
