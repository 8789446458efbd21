#pragma once

#include <cstdint>

namespace fulmarworks::scheduler {

/** Workers that were lost while they ran a task. */
struct loss_count {
    /** Workers that crashed under the task. */
    std::uint32_t crashes = 0;
    /** Crashes right after a start of the task for which no other run is a likelier cause. */
    std::uint32_t start_crashes = 0;
    /** Those of `start_crashes` whose workers were up when the start was sent. The others may have
     * been down already, so that the run never started. */
    std::uint32_t witnessed_crashes = 0;
    /** Workers that fell silent under the task and may have crashed. */
    std::uint32_t unresolved = 0;
};

/** Witnessed crashes, the last one attributed to the task's job alone, after which the job is given
 * up. */
inline constexpr std::uint32_t max_witnessed_crashes = 3;
/**
 * Lost workers after which a task is not started again, whatever the cause of the losses.
 * Bystanders seldom reach it: their runs are kept apart from other suspects.
 */
inline constexpr std::uint32_t max_lost_workers = 5;
/** Lost workers after which a task is suspect without being a likely cause. Runs that were lost
 * together tend to be placed together again, so they have to be separated. */
inline constexpr std::uint32_t suspicious_lost_workers = 2;

/** Returns the workers that were lost under the task, silent ones included. */
[[nodiscard]] constexpr std::uint32_t lost_workers(const loss_count& losses) {
    return losses.crashes + losses.unresolved;
}

/** Returns whether the task may be the cause of crashes, so that its runs are isolated. */
[[nodiscard]] constexpr bool is_suspect(const loss_count& losses) {
    return losses.start_crashes > 0 || lost_workers(losses) >= suspicious_lost_workers;
}

/** Returns whether another start keeps the limit even if all silent workers have crashed. */
[[nodiscard]] constexpr bool may_start(const loss_count& losses) {
    return lost_workers(losses) < max_lost_workers;
}

} // namespace fulmarworks::scheduler
