#pragma once

#include "base/error.h"
#include "ledger/state.h"

#include <string>
#include <string_view>

namespace fulmarworks {

/** Returns the whole state as text of ASCII characters. Thread safe while it isn't changed. */
[[nodiscard]] std::string encode_snapshot(const ledger_state& s);

/** Reads what `encode_snapshot` wrote. Never throws. Thread safe. */
[[nodiscard]] result<ledger_state> decode_snapshot(std::string_view text);

/** Returns a digest that is equal for equal states. */
[[nodiscard]] std::string state_digest(const ledger_state& s);

} // namespace fulmarworks
