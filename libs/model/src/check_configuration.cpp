#include "model/configuration_document.h"

#include <algorithm>
#include <map>
#include <set>

namespace fulmarworks {

namespace {

using fault_list = std::vector<configuration_fault>;

constexpr int max_accelerators_per_host = 64;
constexpr int max_hosts_per_rack = 1024;

void add(fault_list& faults, std::string message, std::string remedy) {
    faults.push_back({0, std::move(message), std::move(remedy)});
}

void require(fault_list& faults, bool holds, const std::string& message,
             const std::string& remedy) {
    if (!holds) {
        add(faults, message, remedy);
    }
}

template <class Object>
void require_reference(fault_list& faults, const std::vector<Object>& objects,
                       const std::string& name, const std::string& referrer, const char* kind) {
    require(faults, find_named(objects, name) != nullptr,
            referrer + " refers to the unknown " + kind + " '" + name + "'",
            std::string("define the ") + kind + " or correct the name");
}

void check_pool(const host_pool& pool, std::set<std::string>& rack_names, fault_list& faults) {
    const std::string label = "host_pool '" + pool.name + "'";
    const task_shape& capacity = pool.host_capacity;
    require(faults,
            capacity.accelerators >= 0 && capacity.accelerators <= max_accelerators_per_host,
            label + " has an impossible number of accelerators", "write 0 to 64");
    require(faults, capacity.cores > 0 && capacity.memory_gb > 0,
            label + " has hosts without cores or memory", "write cores and memory of one host");
    for (const auto& rack : pool.racks) {
        require(faults, rack_names.insert(rack.name).second,
                "rack '" + rack.name + "' is defined twice", "rename one of the two");
        require(faults, rack.hosts > 0 && rack.hosts <= max_hosts_per_rack,
                "rack '" + rack.name + "' has an impossible number of hosts", "write 1 to 1024");
        require(faults, rack.spare_hosts >= 0 && rack.spare_hosts <= rack.hosts,
                "rack '" + rack.name + "' has more spare hosts than hosts",
                "write spare_hosts from 0 to hosts");
    }
}

void check_references(const configuration& c, fault_list& faults) {
    std::set<std::string> used_domains;
    std::set<std::string> used_policies;
    for (const auto& pool : c.host_pools) {
        used_domains.insert(pool.failure_domain);
        require_reference(faults, c.failure_domains, pool.failure_domain,
                          "host_pool '" + pool.name + "'", "failure_domain");
    }
    for (const auto& job : c.job_classes) {
        used_policies.insert(job.retry_policy);
        require_reference(faults, c.retry_policies, job.retry_policy,
                          "job_class '" + job.name + "'", "retry_policy");
    }
    for (const auto& g : c.guarantees) {
        const std::string label = "guarantee '" + g.name + "'";
        require_reference(faults, c.client_accounts, g.client_account, label, "client_account");
        require_reference(faults, c.host_pools, g.host_pool, label, "host_pool");
    }
    for (const auto& domain : c.failure_domains) {
        require(faults, used_domains.contains(domain.name),
                "failure_domain '" + domain.name + "' is unused", "remove it or refer to it");
    }
    for (const auto& policy : c.retry_policies) {
        require(faults, used_policies.contains(policy.name),
                "retry_policy '" + policy.name + "' is unused", "remove it or refer to it");
    }
}

void check_pools(const configuration& c, fault_list& faults) {
    std::set<std::string> rack_names;
    for (const auto& pool : c.host_pools) {
        check_pool(pool, rack_names, faults);
    }
}

void check_ranges(const configuration& c, fault_list& faults) {
    for (const auto& account : c.client_accounts) {
        require(faults, account.weight > 0,
                "client_account '" + account.name + "' has a weight of zero or less",
                "write a positive weight");
        require(faults, account.queue_limit > 0,
                "client_account '" + account.name + "' has no queue", "write queue_limit above 0");
    }
    for (const auto& policy : c.retry_policies) {
        require(faults, policy.max_attempts > 0 && policy.budget_per_minute >= 0,
                "retry_policy '" + policy.name + "' allows no attempt",
                "write max_attempts above 0 and budget_per_minute of 0 or more");
    }
    for (const auto& job : c.job_classes) {
        require(faults, job.priority != urgency::urgent || job.deadline_ms > 0,
                "job_class '" + job.name + "' is urgent without a deadline", "write a deadline");
        require(faults, job.repeatable || job.preempt != preemption::stop,
                "job_class '" + job.name + "' is not repeatable but may be stopped",
                "write preemption: none or checkpoint");
        require(faults, job.queue_limit > 0, "job_class '" + job.name + "' has no queue",
                "write queue_limit above 0");
    }
    for (const auto& g : c.guarantees) {
        require(faults, g.hosts > 0 && g.accelerators_per_host > 0 && g.count > 0,
                "guarantee '" + g.name + "' promises nothing",
                "write hosts, accelerators_per_host and count above 0");
    }
}

/**
 * Packs guaranteed blocks onto hosts, the largest shapes first. Each block goes to the first rack
 * with enough suitable hosts, onto those with the fewest free accelerators that suffice.
 */
class guarantee_packer {
public:
    explicit guarantee_packer(const configuration& c) {
        for (const auto& pool : c.host_pools) {
            for (const auto& rack : pool.racks) {
                free_[pool.name].emplace_back(rack.hosts, pool.host_capacity.accelerators);
            }
        }
    }

    bool pack(const guarantee& g) {
        for (auto& rack : free_[g.host_pool]) {
            if (pack_into(rack, g)) {
                return true;
            }
        }
        return false;
    }

private:
    static bool pack_into(std::vector<int>& rack, const guarantee& g) {
        std::sort(rack.begin(), rack.end());
        const auto first = std::lower_bound(rack.begin(), rack.end(), g.accelerators_per_host);
        if (rack.end() - first < g.hosts) {
            return false;
        }
        for (auto host = first; host != first + g.hosts; ++host) {
            *host -= g.accelerators_per_host;
        }
        return true;
    }

    std::map<std::string, std::vector<std::vector<int>>> free_;
};

void check_packing(const configuration& c, fault_list& faults) {
    std::vector<guarantee> largest_first = c.guarantees;
    std::stable_sort(
        largest_first.begin(), largest_first.end(), [](const guarantee& a, const guarantee& b) {
            return a.accelerators_per_host * a.hosts > b.accelerators_per_host * b.hosts;
        });
    guarantee_packer packer(c);
    for (const auto& g : largest_first) {
        for (int i = 0; i < g.count; ++i) {
            if (!packer.pack(g)) {
                add(faults,
                    "guarantee '" + g.name + "' cannot be packed with the others in host_pool '" +
                        g.host_pool + "'",
                    "promise less, or add racks to the pool");
                break;
            }
        }
    }
}

} // namespace

fault_list check_configuration(const configuration& base, const configuration& candidate) {
    fault_list faults;
    const bool same_pools = base.host_pools == candidate.host_pools;
    check_references(candidate, faults);
    check_ranges(candidate, faults);
    if (!same_pools) {
        check_pools(candidate, faults);
    }
    if (faults.empty() && !(same_pools && base.guarantees == candidate.guarantees)) {
        check_packing(candidate, faults);
    }
    return faults;
}

} // namespace fulmarworks
