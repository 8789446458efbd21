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
/** Slightly less than the weight of three full comparisons, of which the earlier ones count less.
 */
constexpr double min_weight = 2.5;
/** Weight of a comparison with one worker of unknown speed. With a quarter of fast workers, a
 * worker is rarely compared with as few as four of which most are fast. */
constexpr double unknown_worker_weight = 0.25;
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

/** Precondition: the evidence is sufficient. */
double standard_error(const speed_evidence& e) {
    const double variance =
        (e.sum_of_squares / e.weight - mean(e) * mean(e)) * e.weight / (e.weight - 1);
    return std::sqrt(std::max(variance, min_deviation * min_deviation) / e.weight);
}

bool is_sufficient(const speed_evidence& e) {
    return e.runs >= min_runs && e.jobs >= min_jobs && e.weight >= min_weight;
}

/** Returns whether a difference of locality can't explain a difference of the rates. */
bool comparable(const run_rate& a, const run_rate& b, bool gang) {
    // The runs of a gang may be spread over racks, which slows all its members, and later ones not.
    return b.run != 0 && a.at_data == b.at_data && (!gang || a.run == b.run);
}

} // namespace

std::optional<double> learned_log_speed(const worker_speeds& speeds, const std::string& worker) {
    const auto found = speeds.by_worker.find(worker);
    if (found == speeds.by_worker.end() || !is_sufficient(found->second)) {
        return std::nullopt;
    }
    return mean(found->second);
}

double relative_speed(const worker_speeds& speeds, const std::string& worker) {
    const auto found = speeds.by_worker.find(worker);
    const bool distinct =
        found != speeds.by_worker.end() && found->second.speed != speed_class::normal;
    return distinct ? std::exp(learned_log_speed(speeds, worker).value_or(0)) : 1;
}

std::optional<rate_comparison> compare_rate(const worker_speeds& speeds,
                                            const step_progress& progress, std::size_t index,
                                            bool gang) {
    const auto& rates = progress.rates;
    const run_rate& own = rates[index];
    std::array<double, max_tasks_examined> others{};
    std::array<const std::string*, max_tasks_examined> seen{};
    std::size_t measured = 0;
    std::size_t unmeasured = 0;
    std::size_t own_runs = 1;
    double weight = 0;
    for (std::size_t k = 1; k < rates.size() && k <= max_tasks_examined; ++k) {
        const std::size_t other = (index + k) % rates.size();
        const run_rate& rate = rates[other];
        if (!comparable(own, rate, gang)) {
            const task& t = progress.tasks[other];
            unmeasured += rate.run != t.run && is_assigned(t.phase) ? 1 : 0;
        } else if (rate.worker == own.worker) {
            ++own_runs;
        } else {
            const auto known = learned_log_speed(speeds, rate.worker);
            const auto seen_end = seen.begin() + measured;
            if (std::none_of(seen.begin(), seen_end,
                             [&](const auto* worker) { return *worker == rate.worker; })) {
                weight += known ? 1 : unknown_worker_weight;
            }
            seen[measured] = &rate.worker;
            others[measured++] = rate.log_rate - known.value_or(0);
        }
    }
    if (measured == 0 || measured < measured_per_unmeasured * unmeasured) {
        return std::nullopt;
    }
    return rate_comparison{own.log_rate - median(std::span(others).first(measured)),
                           std::min(weight, 1.0) / static_cast<double>(own_runs)};
}

void add_evidence(worker_speeds& speeds, const std::string& worker, std::string_view job,
                  const rate_comparison& compared, time_ms now_ms) {
    speed_evidence& e = speeds.by_worker[worker];
    const double sample = std::clamp(compared.log_ratio, -max_log_ratio, max_log_ratio);
    const double decay = std::pow(weight_decay, compared.weight);
    e.weight = e.weight * decay + compared.weight;
    e.sum = e.sum * decay + sample * compared.weight;
    e.sum_of_squares = e.sum_of_squares * decay + sample * sample * compared.weight;
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
        if (is_sufficient(e)) {
            means.push_back(mean(e));
        }
    }
    return means.empty() ? 0 : median(means);
}

speed_class classify_speed(const speed_evidence& e, double fleet_median) {
    if (!is_sufficient(e)) {
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
