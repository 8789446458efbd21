#pragma once

#include <string>
#include <utility>
#include <vector>

namespace fulmarworks::soak {

/** A key of the worker registry and its value, as bytes. */
using registry_entry = std::pair<std::string, std::string>;

/**
 * Returns entries that no worker writes: damaged, nested deeply, or with values, keys or addresses
 * out of range. None of them names a worker that can be used. `taken_address` is the address of a
 * sound worker.
 */
[[nodiscard]] std::vector<registry_entry> make_odd_entries(const std::string& taken_address);

/** Returns the entry of a sound worker with one member, which may be in an object, replaced by the
 * given JSON text. */
[[nodiscard]] std::string entry_with(const std::string& address, const std::string& member,
                                     const std::string& value);

} // namespace fulmarworks::soak
