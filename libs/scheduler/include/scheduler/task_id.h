#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace fulmarworks::scheduler {

/** Identifies one task of one occurrence of a job. */
struct task_id {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_id&, const task_id&) = default;
};

} // namespace fulmarworks::scheduler
