#include "fault_series.h"

namespace fulmarworks::soak {

namespace {

constexpr time_ms change_interval_ms = 330;
constexpr time_ms notice_ms = 4000;
constexpr time_ms absence_ms = 3000;
/** Time for which leaving workers stay after their announced end. */
constexpr time_ms linger_ms = 1500;
/** Time over which simultaneous kills are spread. */
constexpr time_ms kill_spread_ms = 200;
constexpr time_ms burst_interval_ms = 12;

class series {
public:
    explicit series(const fault_targets& targets) : targets_(targets) {}

    std::vector<std::string> schedule() {
        constexpr double core_loss = 0.9;
        constexpr double leaving = 0.065;
        change_configuration(2000, 10'000);
        kill_hosts(5000, core_loss);
        drain_workers(6000, leaving, 0);
        kill_hosts(9000, 1);
        change_configuration(14'000, 8000);
        burst(16'000, 4000);
        drain_workers(17'000, leaving, 1);
        silence_store(18'000, 4000);
        stop_in_turn(24'000, series_ms - 1000);
        return std::move(lines_);
    }

private:
    void add(time_ms at_ms, const std::string& text) {
        lines_.push_back("at " + std::to_string(at_ms) + " ms: " + text);
    }

    void change_configuration(time_ms at_ms, time_ms duration_ms) {
        add(at_ms, "the configuration changes for " + std::to_string(duration_ms) + " ms");
        for (time_ms t = at_ms; t < at_ms + duration_ms; t += change_interval_ms) {
            targets_.loop.after(t, targets_.change_configuration);
        }
    }

    void kill_hosts(time_ms at_ms, double share) {
        const auto count =
            static_cast<std::size_t>(share * static_cast<double>(targets_.hosts.size()));
        add(at_ms, std::to_string(count) + " hosts are killed");
        for (std::size_t i = 0; i < count; ++i) {
            const auto delay_ms =
                kill_spread_ms * static_cast<time_ms>(i) / static_cast<time_ms>(count);
            targets_.loop.after(at_ms + delay_ms,
                                [host = &targets_.hosts[i], kill = targets_.kill] { kill(*host); });
        }
    }

    /** `group` chooses which of the workers leave. */
    void drain_workers(time_ms at_ms, double share, std::size_t group) {
        const auto interval = static_cast<std::size_t>(1 / share);
        for (std::size_t i = group; i < targets_.workers.size(); i += interval) {
            soak_worker* w = targets_.workers[i].get();
            targets_.loop.after(at_ms, [w] { w->drain(notice_ms, linger_ms); });
            targets_.loop.after(at_ms + notice_ms + absence_ms, [w] { w->rejoin(); });
        }
        add(at_ms, "one in " + std::to_string(interval) + " workers drains and leaves");
    }

    void burst(time_ms at_ms, time_ms duration_ms) {
        add(at_ms, "more jobs for " + std::to_string(duration_ms) + " ms");
        for (time_ms t = at_ms; t < at_ms + duration_ms; t += burst_interval_ms) {
            targets_.loop.after(t, targets_.submit);
        }
    }

    void silence_store(time_ms at_ms, time_ms duration_ms) {
        add(at_ms, "store unresponsive for " + std::to_string(duration_ms) + " ms");
        soak_store* store = &targets_.store;
        targets_.loop.after(at_ms, [store] { store->set_mode(store_mode::silent, 0); });
        targets_.loop.after(at_ms + duration_ms, [store] { store->set_mode(store_mode::up, 0); });
    }

    void stop_in_turn(time_ms at_ms, time_ms until_ms) {
        add(at_ms, "the hosts are stopped and started in turn");
        const auto count = static_cast<time_ms>(targets_.hosts.size());
        for (time_ms i = 0; i < count; ++i) {
            targets_.loop.after(at_ms + (until_ms - at_ms) * i / count,
                                [host = &targets_.hosts[static_cast<std::size_t>(i)],
                                 stop = targets_.stop] { stop(*host); });
        }
    }

    const fault_targets& targets_;
    std::vector<std::string> lines_;
};

} // namespace

std::vector<std::string> schedule_series(const fault_targets& targets) {
    return series(targets).schedule();
}

} // namespace fulmarworks::soak
