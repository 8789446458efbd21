#pragma once

#include "coordinator_fixture.h"

#include <ctime>

namespace fulmarworks::scheduler {

/** Largest number of tasks that a job may have over all its occurrences. */
inline constexpr std::uint32_t most_tasks = 20'000;
/**
 * Limit for the processor time of one event. A leader that takes longer on a small share of a core
 * loses its lease meanwhile, and each next leader meets the same job.
 */
inline constexpr time_ms longest_event_ms = 1500;

inline time_ms processor_time_ms() {
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<time_ms>(now.tv_sec) * milliseconds_per_second + now.tv_nsec / 1'000'000;
}

/** A fleet whose coordinator is measured. */
struct measured_fleet : coordinator_fixture {
    time_ms longest_ms = 0;
    std::size_t starts = 0;

    explicit measured_fleet(int workers) {
        workers_reported all;
        for (int i = 0; i < workers; ++i) {
            all.changes.emplace_back(worker_reported{make_report(name(i), rack(i))});
        }
        all.confirmed_at_ms = now.monotonic_ms;
        reduce(state, now, all, pending_effects);
        for (int i = 0; i < workers; ++i) {
            answer_poll(name(i));
        }
        pending_effects.clear();
    }

    static std::string name(int i) { return "w" + std::to_string(i); }
    static std::string rack(int i) {
        constexpr int workers_per_rack = 20;
        return "r" + std::to_string(i / workers_per_rack);
    }

    /** Handles an event, and then the stored batch, as the leader does. */
    void handle(const event& e) {
        state.registry_confirmed_at_ms = now.monotonic_ms;
        measure(e);
        while (state.batch_open) {
            measure(records_stored{});
        }
    }

    void measure(const event& e) {
        effects out;
        const time_ms begin = processor_time_ms();
        reduce(state, now, e, out);
        longest_ms = std::max(longest_ms, processor_time_ms() - begin);
        for (const auto& each : out) {
            starts += std::holds_alternative<send_start>(each) ? 1 : 0;
        }
    }

    /** Lets the coordinator plan again for some time. */
    void wait() {
        for (int i = 0; i < 4; ++i) {
            now.monotonic_ms += 250;
            handle(tick{});
        }
    }
};

} // namespace fulmarworks::scheduler
