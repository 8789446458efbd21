#include "config_check/check.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <map>
#include <set>

namespace fulmarworks::config_check {

namespace {

/** The scheduler only compares priorities, so a higher one is probably a misplaced value. */
constexpr int highest_usual_priority = 9;
constexpr int urgent_priority = 0;

bool is_urgent(const route_entry& r) {
    return r.decoded.policy.priority == urgent_priority;
}

bool has_guarantee(const account_entry& a) {
    return a.guaranteed.value_or(0) > 0;
}

/** Sum of the positive guarantees; the largest number if it is beyond it. */
std::int64_t sum_guarantees(const std::vector<account_entry>& accounts) {
    std::int64_t sum = 0;
    for (const auto& a : accounts) {
        const std::int64_t count = std::max<std::int64_t>(a.guaranteed.value_or(0), 0);
        sum = count > std::numeric_limits<std::int64_t>::max() - sum
                  ? std::numeric_limits<std::int64_t>::max()
                  : sum + count;
    }
    return sum;
}

/** Checks one document; `found` collects the findings. */
class checker {
public:
    checker(const document& d, const check_options& options)
        : doc_(d), options_(options),
          any_guarantee_(std::any_of(d.accounts.begin(), d.accounts.end(), has_guarantee)) {
        if (d.pools) {
            pool_names_.insert(d.pools->begin(), d.pools->end());
        }
    }

    findings run() {
        check_lists();
        for (std::size_t i = 0; i < doc_.routes.size(); ++i) {
            check_names(section::routes, i, doc_.routes[i].decoded.name);
            check_address(i);
            check_pool(i);
            check_policy(i);
            check_timeout(i);
        }
        check_pools();
        for (std::size_t i = 0; i < doc_.accounts.size(); ++i) {
            check_names(section::accounts, i, doc_.accounts[i].name);
            check_keys(i);
        }
        check_guarantees();
        if (doc_.max_body_bytes < options_.largest_payload_bytes) {
            add(finding_kind::body_limit_below_payload, severity::warning,
                {section::limits, {}, field::max_body_bytes, {}},
                std::to_string(options_.largest_payload_bytes));
        }
        return std::move(found_);
    }

private:
    void add(finding_kind kind, severity level, location where, std::string detail = {},
             std::optional<location> other = {}) {
        found_.push_back({kind, level, where, other, std::move(detail)});
    }

    void warn_route(finding_kind kind, std::size_t route, field value, std::string detail = {}) {
        add(kind, severity::warning, {section::routes, route, value, {}}, std::move(detail));
    }

    void check_lists() {
        const auto check_list = [&](bool empty, field list) {
            if (empty) {
                add(finding_kind::empty_list, severity::warning, {section::document, {}, list, {}});
            }
        };
        check_list(doc_.routes.empty(), field::routes);
        if (!doc_.pools) {
            add(finding_kind::missing, severity::warning,
                {section::document, {}, field::pools, {}});
        }
        check_list(doc_.pools && doc_.pools->empty(), field::pools);
        check_list(doc_.accounts.empty(), field::accounts);
    }

    /** Reports an entry without a name and a name that an earlier entry has. */
    void check_names(section part, std::size_t entry, const std::string& name) {
        const location where{part, entry, field::name, {}};
        if (name.empty()) {
            add(finding_kind::missing, severity::warning, where);
            return;
        }
        const auto [first, is_new] = names_[part].emplace(name, where);
        if (!is_new) {
            add(finding_kind::duplicate_name, severity::error, where, name, first->second);
        }
    }

    void check_address(std::size_t i) {
        const auto& route = doc_.routes[i].decoded;
        const bool mixed_case = std::any_of(route.host.begin(), route.host.end(),
                                            [](unsigned char c) { return std::isupper(c) != 0; });
        if (route.host.empty()) {
            warn_route(finding_kind::missing, i, field::host);
        } else if (route.host.find(':') != std::string::npos) {
            warn_route(finding_kind::unmatchable_host, i, field::host);
        } else if (mixed_case) {
            add(finding_kind::mixed_case_host, severity::note,
                {section::routes, i, field::host, {}});
        }
        if (route.path_prefix.empty()) {
            warn_route(finding_kind::missing, i, field::path_prefix);
        } else if (!route.path_prefix.starts_with('/')) {
            warn_route(finding_kind::unmatchable_prefix, i, field::path_prefix);
        } else if (!route.path_prefix.ends_with('/')) {
            warn_route(finding_kind::prefix_without_slash, i, field::path_prefix);
        }
        if (route.host.empty() || route.path_prefix.empty()) {
            return;
        }
        // A shorter prefix of the same host is legal: the longest match is chosen, among equal
        // ones the first.
        const location where{section::routes, i, field::path_prefix, {}};
        const auto [first, is_new] =
            addresses_.emplace(std::pair(route.host, route.path_prefix), where);
        if (!is_new) {
            add(finding_kind::shadowed_route, severity::warning, where, {}, first->second);
        }
    }

    void check_pool(std::size_t i) {
        const auto& pool = doc_.routes[i].decoded.policy.pool;
        if (pool.empty()) {
            warn_route(finding_kind::missing, i, field::pool);
        } else if (doc_.pools && !pool_names_.contains(pool)) {
            add(finding_kind::unknown_pool, severity::error, {section::routes, i, field::pool, {}},
                pool);
        }
    }

    void check_policy(std::size_t i) {
        const auto& route = doc_.routes[i];
        const auto& policy = route.decoded.policy;
        if (policy.priority > highest_usual_priority) {
            warn_route(finding_kind::unusual_priority, i, field::priority,
                       std::to_string(highest_usual_priority));
        }
        if (policy.max_attempts == 0) {
            warn_route(finding_kind::no_attempts, i, field::max_attempts);
        }
        if (policy.slack_factor == 0 && policy.latency_objective_ms == 0) {
            warn_route(finding_kind::no_objective, i, field::latency_objective);
        }
        if (route.decoded.is_public && any_guarantee_) {
            add(finding_kind::public_beside_guarantees,
                is_urgent(route) ? severity::warning : severity::note,
                {section::routes, i, field::is_public, {}});
        }
    }

    void check_timeout(std::size_t i) {
        const auto& route = doc_.routes[i];
        if (!route.timeout_ms) {
            return;
        }
        if (*route.timeout_ms <= 0) {
            warn_route(finding_kind::timeout_not_positive, i, field::timeout);
        } else if (*route.timeout_ms < route.decoded.policy.latency_objective_ms) {
            add(finding_kind::timeout_below_objective, severity::warning,
                {section::routes, i, field::timeout, {}}, {},
                location{section::routes, i, field::latency_objective, {}});
        }
    }

    void check_pools() {
        if (!doc_.pools) {
            return;
        }
        std::set<std::string> used;
        for (const auto& route : doc_.routes) {
            used.insert(route.decoded.policy.pool);
        }
        for (std::size_t i = 0; i < doc_.pools->size(); ++i) {
            const auto& name = (*doc_.pools)[i];
            check_names(section::pools, i, name);
            if (!name.empty() && !used.contains(name) && !doc_.routes.empty()) {
                add(finding_kind::unused_pool, severity::warning, {section::pools, i, {}, {}},
                    name);
            }
        }
    }

    void check_keys(std::size_t i) {
        const auto& account = doc_.accounts[i];
        if (account.keys.empty()) {
            add(finding_kind::account_without_keys, severity::warning,
                {section::accounts, i, field::keys, {}}, account.name);
        }
        for (const auto& key : account.keys) {
            const location where{section::accounts, i, field::keys, key.position};
            if (key.value.empty()) {
                add(finding_kind::empty_key, severity::warning, where, account.name);
                continue;
            }
            const auto [first, is_new] = keys_.emplace(key.value, where);
            if (is_new) {
                continue;
            }
            const bool same_account = first->second.entry == i;
            add(same_account ? finding_kind::repeated_key : finding_kind::shared_key,
                same_account ? severity::warning : severity::error, where, account.name,
                first->second);
        }
    }

    void check_guarantees() {
        const bool any_urgent = std::any_of(doc_.routes.begin(), doc_.routes.end(), is_urgent);
        for (std::size_t i = 0; i < doc_.accounts.size(); ++i) {
            const auto& account = doc_.accounts[i];
            const location where{section::accounts, i, field::guaranteed_accelerators, {}};
            if (account.guaranteed.value_or(0) < 0) {
                add(finding_kind::negative_guarantee, severity::warning, where, account.name);
            }
            if (has_guarantee(account) && !any_urgent && !doc_.routes.empty()) {
                add(finding_kind::guarantee_without_urgent_route, severity::warning, where,
                    account.name);
            }
        }
        const auto sum = sum_guarantees(doc_.accounts);
        if (options_.accelerators && sum > *options_.accelerators) {
            add(finding_kind::guarantees_above_capacity, severity::warning,
                {section::document, {}, field::accounts, {}},
                std::to_string(sum) + " of " + std::to_string(*options_.accelerators));
        }
    }

    const document& doc_;
    const check_options& options_;
    const bool any_guarantee_;
    std::set<std::string> pool_names_;
    findings found_;
    std::map<section, std::map<std::string, location>> names_;
    std::map<std::pair<std::string, std::string>, location> addresses_;
    std::map<std::string, location> keys_;
};

} // namespace

findings check(const document& d, const check_options& options) {
    return checker(d, options).run();
}

findings merge(findings form, findings content) {
    std::set<location> unreadable;
    for (const auto& f : form) {
        const bool explains_value =
            f.kind != finding_kind::misspelt_field && f.kind != finding_kind::unknown_field &&
            f.kind != finding_kind::converted && f.kind != finding_kind::duplicate_member;
        if (explains_value) {
            unreadable.insert(f.where);
        }
    }
    for (auto& f : content) {
        const location entry{f.where.part, f.where.entry, field::none, {}};
        if (!unreadable.contains(f.where) && !unreadable.contains(entry)) {
            form.push_back(std::move(f));
        }
    }
    std::stable_sort(form.begin(), form.end(),
                     [](const auto& a, const auto& b) { return a.where < b.where; });
    return form;
}

} // namespace fulmarworks::config_check
