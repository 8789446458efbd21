#include "worker_speed.h"

#include "lookup.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace fulmarworks::scheduler {

namespace {

/** Evidence that a class needs. */
constexpr std::uint32_t min_runs = 3;
constexpr std::uint32_t min_jobs = 2;
/** A fast worker is faster than the median by this factor, and a slow one slower. Workers of
 * deployments with even workers differ by a factor of 1.3 at most. */
constexpr double class_ratio = 1.5;
/** The ratio must differ from this one by more than `standard_errors`. */
constexpr double excluded_ratio = 1.25;
constexpr double standard_errors = 2;
/** Minimum standard deviation of a sample. The deviation of three samples is often too small by
 * chance; runs on equal workers differ by a factor of 1.05, and progress is rounded. */
constexpr double min_deviation = 0.1;
/** Factor by which each sample reduces the weight of the earlier ones: about ten samples count. */
constexpr double weight_decay = 0.9;
/** Limit of the logarithm of a sample, so that a single long run can't decide a class. */
constexpr double max_log_ratio = 1;
/** Maximum number of tasks with which a run is compared; it limits the cost for large steps. */
constexpr std::size_t max_tasks_examined = 32;
/** Measured runs needed for each run that is not measured yet. */
constexpr std::size_t measured_per_unmeasured = 3;

/** Precondition: `values` is not empty. */
double median(std::span<double> values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1) {
        return *middle;
    }
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

double mean(const speed_evidence& e) {
    return e.sum / e.weight;
}

double standard_error(const speed_evidence& e) {
    if (e.weight <= 1) {
        return max_log_ratio;
    }
    const double variance =
        (e.sum_of_squares / e.weight - mean(e) * mean(e)) * e.weight / (e.weight - 1);
    return std::sqrt(std::max(variance, min_deviation * min_deviation) / e.weight);
}

/** Returns whether a difference of locality can't explain a difference of the rates. */
bool comparable(const run_rate& a, const run_rate& b, bool gang) {
    // The runs of a gang may be spread over racks, which slows all its members, and later ones not.
    return b.run != 0 && a.at_data == b.at_data && (!gang || a.run == b.run);
}

} // namespace

double learned_log_speed(const worker_speeds& speeds, const std::string& worker) {
    const auto found = speeds.by_worker.find(worker);
    return found == speeds.by_worker.end() || found->second.runs < min_runs ? 0
                                                                            : mean(found->second);
}

std::optional<double> compare_rate(const worker_speeds& speeds, const step_progress& progress,
                                   std::size_t index, bool gang) {
    const auto& rates = progress.rates;
    const run_rate& own = rates[index];
    std::array<double, max_tasks_examined> others{};
    std::size_t measured = 0;
    std::size_t unmeasured = 0;
    for (std::size_t k = 1; k < rates.size() && k <= max_tasks_examined; ++k) {
        const std::size_t other = (index + k) % rates.size();
        if (comparable(own, rates[other], gang)) {
            if (rates[other].worker != own.worker) {
                others[measured++] =
                    rates[other].log_rate - learned_log_speed(speeds, rates[other].worker);
            }
        } else if (rates[other].run != progress.tasks[other].run &&
                   is_assigned(progress.tasks[other].phase)) {
            ++unmeasured;
        }
    }
    if (measured == 0 || measured < measured_per_unmeasured * unmeasured) {
        return std::nullopt;
    }
    return own.log_rate - median(std::span(others).first(measured));
}

void add_evidence(worker_speeds& speeds, const std::string& worker, std::string_view job,
                  double log_ratio, time_ms now_ms) {
    speed_evidence& e = speeds.by_worker[worker];
    const double sample = std::clamp(log_ratio, -max_log_ratio, max_log_ratio);
    e.weight = e.weight * weight_decay + 1;
    e.sum = e.sum * weight_decay + sample;
    e.sum_of_squares = e.sum_of_squares * weight_decay + sample * sample;
    ++e.runs;
    if (e.last_job != job) {
        e.last_job = job;
        ++e.jobs;
    }
    e.updated_at_ms = now_ms;
    speeds.changed = true;
}

void discount_evidence(worker_speeds& speeds, const std::string& worker) {
    const auto found = speeds.by_worker.find(worker);
    if (found == speeds.by_worker.end()) {
        return;
    }
    found->second.weight /= 2;
    found->second.sum /= 2;
    found->second.sum_of_squares /= 2;
    speeds.changed = true;
}

double fleet_log_median(const worker_speeds& speeds) {
    std::vector<double> means;
    means.reserve(speeds.by_worker.size());
    for (const auto& [worker, e] : speeds.by_worker) {
        if (e.runs >= min_runs) {
            means.push_back(mean(e));
        }
    }
    return means.empty() ? 0 : median(means);
}

speed_class classify_speed(const speed_evidence& e, double fleet_median) {
    if (e.runs < min_runs || e.jobs < min_jobs) {
        return speed_class::normal;
    }
    const double ratio = mean(e) - fleet_median;
    const bool distinct =
        std::abs(ratio) > std::log(class_ratio) &&
        std::abs(ratio) - standard_errors * standard_error(e) > std::log(excluded_ratio);
    if (!distinct) {
        return speed_class::normal;
    }
    return ratio > 0 ? speed_class::fast : speed_class::slow;
}

} // namespace fulmarworks::scheduler
