#pragma once

#include "base/error.h"
#include "ledger/state.h"

#include <string>
#include <string_view>

namespace fulmarworks {

/** Encodes the complete state as ASCII JSON. Thread safe while `s` is not modified. */
[[nodiscard]] std::string encode_snapshot(const ledger_state& s);

/** Decodes the output of `encode_snapshot`. Never throws. Thread safe. */
[[nodiscard]] result<ledger_state> decode_snapshot(std::string_view text);

/** Returns a digest of the state. Equal states have equal digests. */
[[nodiscard]] std::string state_digest(const ledger_state& s);

} // namespace fulmarworks
