#pragma once

#include <string>

/** Returns a loopback address whose port is free at the time of the call, and which the system
 * doesn't give to outgoing connections. */
[[nodiscard]] std::string free_address();
