#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace fulmarworks {

namespace {

constexpr int jobs_in_burst = 10;

class generator {
public:
    generator(const workload_description& d, std::uint32_t seed) : d_(d), random_(seed) {}

    std::vector<arriving_job> run() {
        for (const auto& kind : d_.kinds) {
            add_kind(kind);
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

    static double mean_log_uniform(double low, double high) {
        return low == high ? low : (high - low) / std::log(high / low);
    }

    void add_kind(const work_kind& kind) {
        double mean_accelerators = 0;
        for (const auto& [accelerators, tasks] : kind.shapes) {
            mean_accelerators +=
                static_cast<double>(accelerators * tasks) / static_cast<double>(kind.shapes.size());
        }
        const double mean_work =
            mean_accelerators * mean_log_uniform(static_cast<double>(kind.min_run_ms),
                                                 static_cast<double>(kind.max_run_ms));
        const double rate = d_.load * kind.load_share * d_.accelerators / mean_work;
        const double bursts = d_.burst_share;
        const double event_rate = rate / (1 - bursts + bursts * jobs_in_burst);
        double at = 0;
        while (true) {
            at += std::exponential_distribution<>(event_rate)(random_);
            if (at >= static_cast<double>(d_.duration_ms)) {
                return;
            }
            const int count = uniform(0, 1) < bursts ? jobs_in_burst : 1;
            const std::string account = draw_account();
            const int factor = account == d_.flooding_account ? d_.flood_factor : 1;
            for (int i = 0; i < count * factor; ++i) {
                add_job(kind, account, static_cast<time_ms>(at));
            }
        }
    }

    std::string draw_account() {
        double left = uniform(0, 1);
        for (const auto& a : d_.accounts) {
            left -= a.share;
            if (left < 0) {
                return a.account;
            }
        }
        return d_.accounts.back().account;
    }

    void add_job(const work_kind& kind, const std::string& account, time_ms at) {
        const auto& [accelerators, tasks] = kind.shapes[random_() % kind.shapes.size()];
        arriving_job j;
        j.at = at;
        j.run_ms = static_cast<time_ms>(log_uniform(static_cast<double>(kind.min_run_ms),
                                                    static_cast<double>(kind.max_run_ms)));
        j.request.client_account = account;
        j.request.request_id = "j" + std::to_string(jobs_.size());
        j.request.job_class = kind.job_class;
        j.request.shape = {accelerators, accelerators * 8, accelerators * 16};
        j.request.tasks = tasks;
        j.request.declared_ms = static_cast<time_ms>(
            static_cast<double>(j.run_ms) * log_uniform(1 / d_.declared_error, d_.declared_error));
        if (uniform(0, 1) < d_.cancelled_share) {
            j.cancel_at = at + static_cast<time_ms>(uniform(0, 2) * static_cast<double>(j.run_ms));
        }
        jobs_.push_back(std::move(j));
    }

    const workload_description& d_;
    std::mt19937 random_;
    std::vector<arriving_job> jobs_;
};

} // namespace

std::vector<arriving_job> generate_workload(const workload_description& d, std::uint32_t seed) {
    return generator(d, seed).run();
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
