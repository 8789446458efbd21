#pragma once

namespace fulmarworks {

/**
 * Returns the first of `count` adjacent free loopback ports, which lie below the ephemeral port
 * range.
 */
[[nodiscard]] int find_free_ports(int count);

} // namespace fulmarworks
