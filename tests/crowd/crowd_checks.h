#pragma once

#include "crowded_host.h"

#include <functional>
#include <string>

namespace fulmarworks::crowd {

inline constexpr int few_clients = 8;
inline constexpr int many_clients = 100;
/** A body inside the limit of the configuration (262,144 bytes). */
inline constexpr std::size_t permitted_body_bytes = 250'000;

/** Returns the head of an ordinary caller's POST with further header fields, each with its line
 * end. */
[[nodiscard]] std::string head_with(const std::string& path, const std::string& fields);

/** Checks that the process lives and has stayed within its memory and descriptors. */
void check_usage(crowded_host& host);

/** Runs a crowd against a host and checks the host, both beside the crowd and after it. */
void check_survives(crowded_host& host, const crowd_plan& plan);

/** Runs a crowd against a host with the configuration of the soak. */
void check_survives(const std::function<crowd_plan(const crowded_host&)>& make_plan);

/** Like `check_survives`, but the store answers nothing until the crowd is quiet. */
void check_survives_silent_store(crowded_host& host, const crowd_plan& plan);

} // namespace fulmarworks::crowd
