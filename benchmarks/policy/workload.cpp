#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace fulmarworks {

namespace {

constexpr int jobs_per_burst = 10;

class workload_generator {
public:
    workload_generator(const workload_description& d, std::uint32_t seed)
        : description_(d), random_(seed) {}

    std::vector<job_arrival> generate() {
        for (const auto& kind : description_.kinds) {
            add_jobs_of(kind);
        }
        std::stable_sort(jobs_.begin(), jobs_.end(),
                         [](const auto& a, const auto& b) { return a.at < b.at; });
        return std::move(jobs_);
    }

private:
    double uniform(double low, double high) {
        return std::uniform_real_distribution<>(low, high)(random_);
    }

    double log_uniform(double low, double high) {
        return std::exp(uniform(std::log(low), std::log(high)));
    }

    static double log_uniform_mean(double low, double high) {
        return low == high ? low : (high - low) / std::log(high / low);
    }

    void add_jobs_of(const job_kind& kind) {
        double mean_accelerators = 0;
        for (const auto& [accelerators, tasks] : kind.shapes) {
            mean_accelerators +=
                static_cast<double>(accelerators * tasks) / static_cast<double>(kind.shapes.size());
        }
        const double mean_accelerator_ms =
            mean_accelerators * log_uniform_mean(static_cast<double>(kind.min_run_ms),
                                                 static_cast<double>(kind.max_run_ms));
        const double job_rate =
            description_.load * kind.load_share * description_.accelerators / mean_accelerator_ms;
        const double burst_share = description_.burst_share;
        const double arrival_rate = job_rate / (1 - burst_share + burst_share * jobs_per_burst);
        double arrival_ms = 0;
        while (true) {
            arrival_ms += std::exponential_distribution<>(arrival_rate)(random_);
            if (arrival_ms >= static_cast<double>(description_.duration_ms)) {
                return;
            }
            const int count = uniform(0, 1) < burst_share ? jobs_per_burst : 1;
            const std::string account = draw_account();
            const int factor =
                account == description_.flooding_account ? description_.flood_factor : 1;
            for (int i = 0; i < count * factor; ++i) {
                add_job(kind, account, static_cast<time_ms>(arrival_ms));
            }
        }
    }

    std::string draw_account() {
        double remaining = uniform(0, 1);
        for (const auto& a : description_.accounts) {
            remaining -= a.share;
            if (remaining < 0) {
                return a.account;
            }
        }
        return description_.accounts.back().account;
    }

    void add_job(const job_kind& kind, const std::string& account, time_ms at) {
        const auto& [accelerators, tasks] = kind.shapes[random_() % kind.shapes.size()];
        job_arrival j;
        j.at = at;
        j.run_ms = static_cast<time_ms>(log_uniform(static_cast<double>(kind.min_run_ms),
                                                    static_cast<double>(kind.max_run_ms)));
        j.request.client_account = account;
        j.request.request_id = "j" + std::to_string(jobs_.size());
        j.request.job_class = kind.job_class;
        j.request.shape = {accelerators, accelerators * 8, accelerators * 16};
        j.request.tasks = tasks;
        j.request.declared_ms = static_cast<time_ms>(
            static_cast<double>(j.run_ms) *
            log_uniform(1 / description_.declared_error, description_.declared_error));
        if (uniform(0, 1) < description_.cancelled_share) {
            j.cancel_at = at + static_cast<time_ms>(uniform(0, 2) * static_cast<double>(j.run_ms));
        }
        jobs_.push_back(std::move(j));
    }

    const workload_description& description_;
    std::mt19937 random_;
    std::vector<job_arrival> jobs_;
};

} // namespace

std::vector<job_arrival> generate_workload(const workload_description& d, std::uint32_t seed) {
    return workload_generator(d, seed).generate();
}

workload_description vormpulp_workload() {
    workload_description d;
    d.kinds = {{"press-fit-check", 0.08, 1000, 6000, {{1, 1}}},
               {"slurry-fit", 0.42, 60000, 900000, {{1, 1}, {2, 1}, {4, 1}}},
               {"mould-design", 0.50, 600000, 3600000, {{8, 1}, {8, 2}, {8, 4}}}};
    d.accounts = {{"ghent", 0.4}, {"liege", 0.25}, {"antwerp", 0.25}, {"namur", 0.1}};
    return d;
}

workload_description kopjeskraal_workload() {
    workload_description d;
    d.kinds = {{"preview", 0.18, 500, 4000, {{1, 1}}},
               {"quote", 0.02, 300, 800, {{1, 1}}},
               {"render", 0.80, 60000, 1200000, {{1, 1}, {2, 1}, {4, 1}, {8, 1}, {8, 2}}}};
    d.accounts = {{"protea", 0.35}, {"baobab", 0.35}, {"marula", 0.15}, {"kudu", 0.15}};
    return d;
}

} // namespace fulmarworks
