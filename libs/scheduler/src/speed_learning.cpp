#include "speed_learning.h"

#include "worker_speed.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace fulmarworks::scheduler {

namespace {

/** Progress outside these bounds is too imprecise: it is rounded, and it stays at 100 percent from
 * the usual run time until the task ends. */
constexpr int min_percent = 5;
constexpr int max_percent = 95;
/** From this progress on, the rate is precise enough to be compared. */
constexpr int decisive_percent = 50;
constexpr int complete_percent = 100;
/** Mean part of a percent that rounding removes. */
constexpr double rounding_percent = 0.5;
/** The delay of the orders, tens of milliseconds, distorts the rates of shorter runs. */
constexpr time_ms min_measured_ms = 500;
/** A start that is confirmed later than this after its order may have been executed long before. */
constexpr time_ms max_confirmation_ms = 300;
/** Maximum number of runs of a step that are compared again when another one ends. */
constexpr std::size_t max_recompared = 16;
/** Interval between determinations of the classes; each visits all workers with evidence. */
constexpr time_ms classification_interval_ms = 1000;
/** Evidence about an absent worker is removed after this time. */
constexpr time_ms absent_retention_ms = 600'000;

/** Returns whether runs of the step tell about the speeds of workers. */
bool is_measurable(const reduce_context& ctx, const task_ref& ref) {
    const step_spec& spec = *ref.spec;
    // Tasks of a step that should stay in one rack but start independently are slowed at
    // unpredictable times.
    return ctx.state.limits.learned_worker_speeds && spec.task_count > 1 && !spec.long_running &&
           (spec.gang || !spec.same_rack) && ref.item->phase == task_phase::running &&
           ref.item->measured_from_ms != 0;
}

void record_rate(reduce_context& ctx, const task_id& id, const task_ref& ref, double percent) {
    const task& t = *ref.item;
    const time_ms elapsed_ms = ctx.now.monotonic_ms - t.measured_from_ms;
    const worker* w = find_worker(ctx.state, t.where.id);
    if (elapsed_ms < min_measured_ms || w == nullptr) {
        return;
    }
    auto& rates = ref.progress->rates;
    rates.resize(ref.progress->tasks.size());
    run_rate& rate = rates[id.index];
    if (rate.run != t.run) {
        const std::string& data_rack = ref.spec->data_rack;
        rate = {t.where.id, t.run, data_rack.empty() || data_rack == w->report.rack, false, 0};
    }
    rate.log_rate = std::log(percent / static_cast<double>(elapsed_ms));
}

void compare(reduce_context& ctx, const task_id& id, const task_ref& ref) {
    run_rate& rate = ref.progress->rates[id.index];
    if (rate.run == 0 || rate.compared || rate.run != ref.progress->tasks[id.index].run) {
        return;
    }
    if (const auto compared =
            compare_rate(ctx.state.speeds, *ref.progress, id.index, ref.spec->gang)) {
        rate.compared = true;
        add_evidence(ctx.state.speeds, rate.worker, id.job, *compared, ctx.now.monotonic_ms);
    }
}

std::string_view name_of(speed_class speed) {
    switch (speed) {
    case speed_class::slow: return "slow";
    case speed_class::normal: return "normal";
    case speed_class::fast: return "fast";
    }
    return "invalid";
}

void set_class(reduce_context& ctx, const std::string& id, speed_evidence& evidence,
               speed_class speed, double log_ratio) {
    if (evidence.speed == speed) {
        return;
    }
    evidence.speed = speed;
    ctx.state.capacities.mark_stale(id);
    ctx.state.plan_needed = true;
    std::array<char, 32> ratio{};
    std::snprintf(ratio.data(), ratio.size(), "%.2f", std::exp(log_ratio));
    log_decision(ctx, "worker_speed_class",
                 "worker=" + id + " class=" + std::string(name_of(speed)) +
                     " ratio=" + ratio.data() + " runs=" + std::to_string(evidence.runs));
}

void remove_absent_workers(reduce_context& ctx) {
    std::erase_if(ctx.state.speeds.by_worker, [&](const auto& entry) {
        return find_worker(ctx.state, entry.first) == nullptr &&
               ctx.now.monotonic_ms - entry.second.updated_at_ms >= absent_retention_ms;
    });
}

} // namespace

void begin_measurement(task& t, time_ms now_ms) {
    const bool start_known = t.phase == task_phase::ordered && t.order_attempts <= 1 &&
                             now_ms - t.ordered_at_ms <= max_confirmation_ms;
    t.measured_from_ms = start_known && t.checkpoint.empty() ? now_ms : 0;
}

void measure_progress(reduce_context& ctx, const task_id& id, const task_ref& ref) {
    const int percent = ref.item->percent;
    if (percent < min_percent || percent > max_percent || !is_measurable(ctx, ref)) {
        return;
    }
    record_rate(ctx, id, ref, percent + rounding_percent);
    if (percent >= decisive_percent && !ref.progress->rates.empty()) {
        compare(ctx, id, ref);
    }
}

void measure_end(reduce_context& ctx, const task_id& id, const task_ref& ref) {
    if (!is_measurable(ctx, ref)) {
        return;
    }
    auto& rates = ref.progress->rates;
    const bool measured = !rates.empty() && rates[id.index].run == ref.item->run;
    // A gang's members end together, whatever their speeds. A run that stayed at 100 percent was
    // longer than usual.
    if (!measured && !ref.spec->gang && ref.item->percent < complete_percent) {
        record_rate(ctx, id, ref, complete_percent);
    }
    task_id other = id;
    for (std::size_t k = 0; k < rates.size() && k < max_recompared; ++k) {
        other.index = static_cast<std::uint32_t>((id.index + rates.size() - k) % rates.size());
        compare(ctx, other, ref);
    }
}

void update_speed_classes(reduce_context& ctx) {
    worker_speeds& speeds = ctx.state.speeds;
    const time_ms now = ctx.now.monotonic_ms;
    if (!speeds.changed || now - speeds.classified_at_ms < classification_interval_ms) {
        return;
    }
    speeds.changed = false;
    speeds.classified_at_ms = now;
    remove_absent_workers(ctx);
    const double fleet_median = fleet_log_median(speeds);
    speeds.fast_workers = 0;
    speeds.slow_workers = 0;
    for (auto& [id, evidence] : speeds.by_worker) {
        set_class(ctx, id, evidence, classify_speed(evidence, fleet_median),
                  evidence.sum / evidence.weight - fleet_median);
        if (find_worker(ctx.state, id) != nullptr) {
            speeds.fast_workers += evidence.speed == speed_class::fast ? 1 : 0;
            speeds.slow_workers += evidence.speed == speed_class::slow ? 1 : 0;
        }
    }
}

} // namespace fulmarworks::scheduler
