#include "config_check/compare.h"

#include <map>
#include <set>
#include <sstream>

namespace fulmarworks::config_check {

namespace {

/** Positions of entries that correspond to each other; one of them is missing for a lone entry. */
struct pairing {
    std::optional<std::size_t> before;
    std::optional<std::size_t> after;
};

/** Pairs entries of equal names in their order: first those of `after`, then the removed ones. */
std::vector<pairing> pair_by_name(const std::vector<std::string>& before,
                                  const std::vector<std::string>& after) {
    std::map<std::string, std::vector<std::size_t>> unpaired;
    for (std::size_t i = before.size(); i > 0; --i) {
        unpaired[before[i - 1]].push_back(i - 1);
    }
    std::vector<pairing> pairs;
    for (std::size_t i = 0; i < after.size(); ++i) {
        auto& candidates = unpaired[after[i]];
        pairing p{{}, i};
        if (!candidates.empty()) {
            p.before = candidates.back();
            candidates.pop_back();
        }
        pairs.push_back(p);
    }
    std::set<std::size_t> removed;
    for (const auto& [name, positions] : unpaired) {
        removed.insert(positions.begin(), positions.end());
    }
    for (const auto position : removed) {
        pairs.push_back({position, {}});
    }
    return pairs;
}

template <class Entry, class Name>
std::vector<std::string> names_of(const std::vector<Entry>& entries, const Name& name) {
    std::vector<std::string> names;
    for (const auto& e : entries) {
        names.push_back(name(e));
    }
    return names;
}

std::string format(const std::string& value) {
    return value;
}

template <class T>
std::string format(const T& value) {
    std::ostringstream text;
    text << std::boolalpha << value;
    return text.str();
}

template <class T>
std::string format(const std::optional<T>& value) {
    return value ? format(*value) : "none";
}

class comparer {
public:
    comparer(const document& before, const document& after) : before_(before), after_(after) {}

    std::vector<change> run() {
        compare_routes();
        compare_pools();
        compare_accounts();
        compare_value({section::limits, {}, field::max_body_bytes, {}}, {}, before_.max_body_bytes,
                      after_.max_body_bytes);
        return std::move(changes_);
    }

private:
    template <class T>
    void compare_value(location where, const std::string& name, const T& before, const T& after) {
        if (before != after) {
            changes_.push_back({change_kind::changed, where, name, format(before), format(after)});
        }
    }

    void add_lone(section part, const pairing& p, const std::string& name) {
        changes_.push_back({p.after ? change_kind::added : change_kind::removed,
                            {part, p.after ? p.after : p.before, field::none, {}},
                            name,
                            {},
                            {}});
    }

    void compare_routes() {
        const auto name = [](const route_entry& r) { return r.decoded.name; };
        for (const auto& p :
             pair_by_name(names_of(before_.routes, name), names_of(after_.routes, name))) {
            if (!p.before || !p.after) {
                add_lone(section::routes, p,
                         name(p.after ? after_.routes[*p.after] : before_.routes[*p.before]));
            } else {
                compare_route(before_.routes[*p.before], after_.routes[*p.after], *p.after);
            }
        }
    }

    void compare_route(const route_entry& before, const route_entry& after, std::size_t position) {
        const auto values = [&](field value, const auto& b, const auto& a) {
            compare_value({section::routes, position, value, {}}, after.decoded.name, b, a);
        };
        const auto& b = before.decoded;
        const auto& a = after.decoded;
        values(field::host, b.host, a.host);
        values(field::path_prefix, b.path_prefix, a.path_prefix);
        values(field::call_type, before.call_type, after.call_type);
        values(field::pool, b.policy.pool, a.policy.pool);
        values(field::priority, b.policy.priority, a.policy.priority);
        values(field::max_attempts, b.policy.max_attempts, a.policy.max_attempts);
        values(field::slack_factor, b.policy.slack_factor, a.policy.slack_factor);
        values(field::latency_objective, b.policy.latency_objective_ms,
               a.policy.latency_objective_ms);
        values(field::timeout, before.timeout_ms, after.timeout_ms);
        values(field::is_public, b.is_public, a.is_public);
    }

    void compare_pools() {
        const auto before = before_.pools.value_or(std::vector<std::string>{});
        const auto after = after_.pools.value_or(std::vector<std::string>{});
        for (const auto& p : pair_by_name(before, after)) {
            if (!p.before || !p.after) {
                add_lone(section::pools, p, p.after ? after[*p.after] : before[*p.before]);
            }
        }
    }

    void compare_accounts() {
        const auto name = [](const account_entry& a) { return a.name; };
        const account_entry nothing;
        for (const auto& p :
             pair_by_name(names_of(before_.accounts, name), names_of(after_.accounts, name))) {
            const auto& before = p.before ? before_.accounts[*p.before] : nothing;
            const auto& after = p.after ? after_.accounts[*p.after] : nothing;
            if (!p.before || !p.after) {
                add_lone(section::accounts, p, name(p.after ? after : before));
            } else {
                compare_value({section::accounts, p.after, field::guaranteed_accelerators, {}},
                              after.name, before.guaranteed, after.guaranteed);
            }
            add_lone_keys(change_kind::added, p.after, after, before);
            add_lone_keys(change_kind::removed, p.before, before, after);
        }
    }

    /** Adds the keys of the account at `position` that `other` does not have. */
    void add_lone_keys(change_kind kind, std::optional<std::size_t> position,
                       const account_entry& account, const account_entry& other) {
        std::set<std::string> known;
        for (const auto& key : other.keys) {
            known.insert(key.value);
        }
        for (const auto& key : account.keys) {
            if (!known.contains(key.value)) {
                changes_.push_back({kind,
                                    {section::accounts, position, field::keys, key.position},
                                    account.name,
                                    {},
                                    {}});
            }
        }
    }

    const document& before_;
    const document& after_;
    std::vector<change> changes_;
};

} // namespace

comparison compare(const document& in_force, const document& candidate) {
    comparison result{comparer(in_force, candidate).run(), {}};
    const location where{section::document, {}, field::version, {}};
    const auto add = [&](finding_kind kind, severity level) {
        result.version.push_back({kind, level, where, {}, std::to_string(in_force.version)});
    };
    if (candidate.version < in_force.version) {
        add(finding_kind::version_not_increased, severity::error);
    } else if (candidate.version == in_force.version) {
        result.changes.empty() ? add(finding_kind::identical, severity::note)
                               : add(finding_kind::version_reused, severity::error);
    }
    return result;
}

} // namespace fulmarworks::config_check
