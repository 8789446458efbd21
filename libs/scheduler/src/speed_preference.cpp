#include "speed_preference.h"

#include <array>

namespace fulmarworks::scheduler {

namespace {

const speed_set slow = only(speed_class::slow);
const speed_set normal = only(speed_class::normal);
const speed_set fast = only(speed_class::fast);
const speed_set not_slow = normal | fast;

const std::array any_speed{all_speeds};
const std::array urgent_gang{fast, normal, not_slow, slow, all_speeds};
const std::array other_gang{normal, fast, not_slow, slow, all_speeds};
/** The same without slow workers, which saves searches. */
const std::array urgent_gang_without_slow{fast, normal, all_speeds};
const std::array other_gang_without_slow{normal, fast, all_speeds};
const std::array one_by_one{normal, fast, slow};

bool has_classes(const coordinator_state& state) {
    return state.limits.learned_worker_speeds &&
           state.speeds.fast_workers + state.speeds.slow_workers > 0;
}

} // namespace

std::span<const speed_set> gang_speeds(const coordinator_state& state, int priority) {
    if (!has_classes(state)) {
        return any_speed;
    }
    if (state.speeds.slow_workers == 0) {
        return priority == 0 ? urgent_gang_without_slow : other_gang_without_slow;
    }
    return priority == 0 ? std::span<const speed_set>(urgent_gang) : other_gang;
}

speed_preference task_speeds(const coordinator_state& state, int priority) {
    if (!has_classes(state)) {
        return {{}, any_speed};
    }
    return {priority == 0 ? fast : speed_set(), one_by_one};
}

} // namespace fulmarworks::scheduler
