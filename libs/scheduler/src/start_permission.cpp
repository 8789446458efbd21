#include "start_permission.h"

#include <limits>
#include <utility>

namespace fulmarworks::scheduler {

namespace {

/** Shares of the bound in percent. */
constexpr time_ms view_age_percent = 60;
constexpr time_ms sending_percent = 25;

time_ms view_age_ms(const coordinator_state& state, time_ms now_ms) {
    return state.registry_confirmed_at_ms ? now_ms - *state.registry_confirmed_at_ms
                                          : std::numeric_limits<time_ms>::max();
}

} // namespace

time_ms longest_view_age(const settings& limits) {
    return limits.drain_bound_ms * view_age_percent / 100;
}

time_ms start_sending_limit(const settings& limits) {
    return limits.drain_bound_ms * sending_percent / 100;
}

bool has_current_view(const coordinator_state& state, time_ms now_ms) {
    return view_age_ms(state, now_ms) <= longest_view_age(state.limits);
}

void hold_starts(reduce_context& ctx) {
    if (!std::exchange(ctx.state.starts_held, true)) {
        const bool read = ctx.state.registry_confirmed_at_ms.has_value();
        log_decision(ctx, "starts_held",
                     read ? "reason=registry_view_late age_ms=" +
                                std::to_string(view_age_ms(ctx.state, ctx.now.monotonic_ms)) +
                                " limit_ms=" + std::to_string(longest_view_age(ctx.state.limits))
                          : "reason=registry_not_read");
    }
}

void resume_starts(reduce_context& ctx) {
    if (!ctx.state.starts_held || !has_current_view(ctx.state, ctx.now.monotonic_ms)) {
        return;
    }
    ctx.state.starts_held = false;
    log_decision(ctx, "starts_resumed", "");
    for (auto& [id, w] : ctx.state.workers) {
        send_allowed_starts(ctx, w);
    }
    ctx.state.plan_needed = true;
}

} // namespace fulmarworks::scheduler
