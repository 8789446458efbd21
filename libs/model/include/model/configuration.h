#pragma once

#include "base/enum_names.h"
#include "base/json.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

/**
 * Types of the operators' configuration: named objects that refer to one another by name. A parsed
 * configuration may still be invalid; `check_configuration` validates it.
 */
namespace fulmarworks {

enum class urgency { urgent, standard, background };

template <>
struct enum_names<urgency> {
    static constexpr enum_name<urgency> names[] = {{urgency::urgent, "urgent"},
                                                   {urgency::standard, "standard"},
                                                   {urgency::background, "background"}};
};

/** How a running task may be preempted when its accelerators are reclaimed. */
enum class preemption { none, stop, checkpoint };

template <>
struct enum_names<preemption> {
    static constexpr enum_name<preemption> names[] = {{preemption::none, "none"},
                                                      {preemption::stop, "stop"},
                                                      {preemption::checkpoint, "checkpoint"}};
};

/** Resources that one task needs on its host; also the capacity of a host. */
struct task_shape {
    int accelerators = 0;
    int cores = 1;
    int memory_gb = 1;

    bool operator==(const task_shape&) const = default;
};

struct client_account {
    std::string name;
    double weight = 1;
    int queue_limit = 1000;
};

/** Guarantees `count` blocks. A block has `accelerators_per_host` adjacent accelerators on each of
 * `hosts` hosts of one rack. */
struct guarantee {
    std::string name;
    std::string client_account;
    std::string host_pool;
    int hosts = 1;
    int accelerators_per_host = 1;
    int count = 1;

    bool operator==(const guarantee&) const = default;
};

struct retry_policy {
    std::string name;
    int max_attempts = 3;
    time_ms backoff_ms = 200;
    int budget_per_minute = 60;
};

struct job_class {
    std::string name;
    urgency priority = urgency::standard;
    /** Time from submission within which an urgent job must start. */
    time_ms deadline_ms = 0;
    /** Longest time in the queue before the job expires; 0 for no limit. */
    time_ms queue_timeout_ms = 0;
    bool repeatable = true;
    preemption preempt = preemption::none;
    time_ms checkpoint_ms = 0;
    std::string retry_policy;
    int queue_limit = 1000;
};

struct rack_description {
    std::string name;
    int hosts = 8;
    /** Number of hosts, the last ones of the rack, that stay powered off until needed. */
    int spare_hosts = 0;

    bool operator==(const rack_description&) const = default;
};

struct host_pool {
    std::string name;
    std::string failure_domain;
    std::vector<rack_description> racks;
    task_shape host_capacity;
    time_ms startup_ms = 60 * milliseconds_per_second;

    bool operator==(const host_pool&) const = default;
};

struct failure_domain {
    std::string name;
    std::string region;

    bool operator==(const failure_domain&) const = default;
};

struct scheduling_policy {
    double fragmentation_weight = 0.5;
    double completion_weight = 0.5;
    time_ms reclaim_limit_ms = 30 * milliseconds_per_second;
};

struct configuration {
    std::vector<failure_domain> failure_domains;
    std::vector<host_pool> host_pools;
    std::vector<client_account> client_accounts;
    std::vector<guarantee> guarantees;
    std::vector<retry_policy> retry_policies;
    std::vector<job_class> job_classes;
    scheduling_policy policy;
};

FULMARWORKS_JSON(task_shape, accelerators, cores, memory_gb)
FULMARWORKS_JSON(client_account, name, weight, queue_limit)
FULMARWORKS_JSON(guarantee, name, client_account, host_pool, hosts, accelerators_per_host, count)
FULMARWORKS_JSON(retry_policy, name, max_attempts, backoff_ms, budget_per_minute)
FULMARWORKS_JSON(job_class, name, priority, deadline_ms, queue_timeout_ms, repeatable, preempt,
                 checkpoint_ms, retry_policy, queue_limit)
FULMARWORKS_JSON(rack_description, name, hosts, spare_hosts)
FULMARWORKS_JSON(host_pool, name, failure_domain, racks, host_capacity, startup_ms)
FULMARWORKS_JSON(failure_domain, name, region)
FULMARWORKS_JSON(scheduling_policy, fragmentation_weight, completion_weight, reclaim_limit_ms)
FULMARWORKS_JSON(configuration, failure_domains, host_pools, client_accounts, guarantees,
                 retry_policies, job_classes, policy)

/** Returns the name of a host from its index in the rack; index 0 is RACK-h01. Thread safe. */
[[nodiscard]] std::string host_name(std::string_view rack, int index);

/** Shape of the largest guaranteed block; 0 x 0 without guarantees. */
struct promised_shape {
    int hosts = 0;
    int accelerators_per_host = 0;

    [[nodiscard]] int total() const { return hosts * accelerators_per_host; }
};

/** Returns the shape with the most accelerators among the guarantees. Thread safe. */
[[nodiscard]] promised_shape largest_promised(const configuration& config);

/** Returns the object called `name`, or nullptr. Thread safe. */
template <class Object>
[[nodiscard]] const Object* find_named(const std::vector<Object>& objects, std::string_view name) {
    for (const auto& object : objects) {
        if (object.name == name) {
            return &object;
        }
    }
    return nullptr;
}

} // namespace fulmarworks
