#pragma once

namespace fulmarworks {

/** Returns the first of `count` adjacent loopback ports that are free, below the ephemeral ones. */
[[nodiscard]] int find_free_ports(int count);

} // namespace fulmarworks
