#pragma once

namespace fulmarworks {

/** Priorities of events in a loop; lower ones run first. */
inline constexpr int prompt_priority = 0;
inline constexpr int usual_priority = 1;
inline constexpr int priority_count = 2;

} // namespace fulmarworks
